package standin

import (
	"io"
	"time"

	"github.com/charmbracelet/log"
)

// Role is the replication role of an endpoint.
type Role string

// Roles.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
)

// Defaults of Options.
const (
	DefaultListen           = "127.0.0.1:0"
	DefaultUser             = "galenabridge"
	DefaultDatabase         = "ledger"
	DefaultMaxConnections   = 100
	DefaultConnectDelay     = 10 * time.Millisecond
	DefaultReplicationDelay = time.Millisecond
	DefaultAnnounceInterval = 500 * time.Millisecond
)

// Options configure one endpoint. Zero values select the defaults. A negative
// duration means zero.
type Options struct {
	// Service is the name of the database group, ID that of the endpoint in the
	// group. SHOW cluster_name returns ID.
	Service string
	ID      string
	// Domain is the failure domain that the endpoint announces.
	Domain string
	// Listen is the address for callers and replicas.
	Listen string
	// Advertise is the announced address. If empty, the listen address is announced.
	Advertise string
	// Role is the role at the first start. An endpoint with a data folder resumes
	// its last role.
	Role Role
	// Upstream is the primary's address until the response to an announcement names
	// another.
	Upstream string
	// User, Password and Database are the only ones accepted. If Password is empty,
	// no authentication takes place.
	User     string
	Password string
	Database string
	// MaxConnections limits the connections of callers. Replication connections do
	// not count.
	MaxConnections int
	// ConnectDelay is added to the time that opening a connection takes.
	ConnectDelay time.Duration
	// ReplicationDelay is the time from a commit to its flush on a replica.
	ReplicationDelay time.Duration
	// ReplayLag is the time from the flush of a transaction to its replay.
	ReplayLag time.Duration
	// Admins are the HTTP addresses (host:port) that accept announcements.
	Admins           []string
	AnnounceInterval time.Duration
	// Control is the HTTP address of the fault switches. If empty, they are not served.
	Control string
	// DataDir is the folder that keeps the log across restarts. If empty, the log is
	// kept in memory.
	DataDir string
	// RecordsTable creates the table "records" on a primary whose log is empty.
	RecordsTable bool
	// Logger receives events; nil discards them.
	Logger *log.Logger
}

func (o *Options) setDefaults() {
	defaultString(&o.Listen, DefaultListen)
	defaultString(&o.User, DefaultUser)
	defaultString(&o.Database, DefaultDatabase)
	defaultString(&o.ID, "standin")
	defaultString(&o.Service, DefaultDatabase)
	if o.Role == "" {
		o.Role = RolePrimary
	}
	if o.MaxConnections == 0 {
		o.MaxConnections = DefaultMaxConnections
	}
	defaultDuration(&o.ConnectDelay, DefaultConnectDelay)
	defaultDuration(&o.ReplicationDelay, DefaultReplicationDelay)
	defaultDuration(&o.ReplayLag, 0)
	defaultDuration(&o.AnnounceInterval, DefaultAnnounceInterval)
	if o.Logger == nil {
		o.Logger = log.New(io.Discard)
	}
}

func defaultString(field *string, value string) {
	if *field == "" {
		*field = value
	}
}

// defaultDuration replaces zero by value and a negative duration by zero.
func defaultDuration(field *time.Duration, value time.Duration) {
	switch {
	case *field == 0:
		*field = value
	case *field < 0:
		*field = 0
	}
}

package standin

import (
	"io"
	"time"

	"github.com/charmbracelet/log"
)

// Role is the part that an endpoint plays in its group.
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

// Options configure one endpoint. Zero values take the defaults; to have no
// delay at all, set a negative one.
type Options struct {
	// Service names the database group, ID the endpoint in the group. SHOW
	// cluster_name answers with ID.
	Service string
	ID      string
	// Domain is the failure domain that the endpoint announces.
	Domain string
	// Listen is the address for callers and replicas.
	Listen string
	// Advertise is the address that is announced; empty means the one listened on.
	Advertise string
	// Role is the role at first start; an endpoint with a data folder resumes the
	// role that it had.
	Role Role
	// Upstream is the primary's address, until an announcement names another.
	Upstream string
	// User, Password and Database are the only credentials accepted. An empty
	// password accepts the user without one.
	User     string
	Password string
	Database string
	// MaxConnections caps the callers' connections.
	MaxConnections int
	// ConnectDelay is the time that opening a connection takes.
	ConnectDelay time.Duration
	// ReplicationDelay is the time from a commit to its flush on a replica.
	ReplicationDelay time.Duration
	// ReplayLag is the time from the flush of a transaction to its replay.
	ReplayLag time.Duration
	// Admins are the HTTP addresses (host:port) that accept announcements.
	Admins           []string
	AnnounceInterval time.Duration
	// Control is the HTTP address of the fault switches; empty means none.
	Control string
	// DataDir keeps the log over restarts; empty keeps it in memory.
	DataDir string
	// RecordsTable creates the table "records" on a primary that has none.
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

func defaultDuration(field *time.Duration, value time.Duration) {
	switch {
	case *field == 0:
		*field = value
	case *field < 0:
		*field = 0
	}
}

// Package note defines release notes, the numbered changes of the configuration: their
// schema, their validation, and how a note changes the catalog of workspaces, keys,
// services and failure domains. The package performs no I/O.
package note

import "time"

// Class is the priority class of a request.
type Class string

// Classes, highest priority first.
const (
	ClassInteractive Class = "interactive"
	ClassCorrection  Class = "correction"
	ClassBulk        Class = "bulk"
)

// Workspace is a tenant whose callers share keys and one token bucket.
type Workspace struct {
	Name string `json:"name" cbor:"1,keyasint" validate:"required,max=63"`
	// Rate is the number of statements per second over all hosts of the fleet.
	Rate float64 `json:"rate" cbor:"2,keyasint" validate:"gt=0"`
	// Burst is the capacity of the token bucket in statements.
	Burst float64 `json:"burst" cbor:"3,keyasint" validate:"gte=1"`
	// Weight is the relative share in weighted fair queueing; zero means 1.
	Weight float64 `json:"weight,omitempty" cbor:"4,keyasint,omitempty" validate:"gte=0"`
	// Class is the default class and the highest that callers may request.
	Class Class `json:"class" cbor:"5,keyasint" validate:"oneof=interactive correction bulk"`
	// Services are the names of the services it may use; empty means all.
	Services []string `json:"services,omitempty" cbor:"6,keyasint,omitempty"`
	// Open lets callers connect as this workspace without a key, for reads only. It has no
	// effect while the workspace has keys.
	Open bool `json:"open,omitempty" cbor:"7,keyasint,omitempty"`
}

// Key is a credential of a workspace. A workspace may have several keys at once, for
// instance during a rotation; they share salt and iteration count.
type Key struct {
	ID        string `json:"id" cbor:"1,keyasint" validate:"required,max=63"`
	Workspace string `json:"workspace" cbor:"2,keyasint" validate:"required"`
	// Verifier has PostgreSQL's format SCRAM-SHA-256$ITERATIONS:SALT$STORED:SERVER.
	Verifier string `json:"verifier" cbor:"3,keyasint" validate:"required"`
}

// Service is a database group that callers address by name.
type Service struct {
	Name string `json:"name" cbor:"1,keyasint" validate:"required,max=63"`
	// Endpoints is the number of endpoints in the group, or UnlimitedEndpoints.
	Endpoints int `json:"endpoints" cbor:"2,keyasint" validate:"gte=1,lte=9"`
	// Slots is the number of statements that one endpoint executes concurrently.
	Slots int `json:"slots" cbor:"3,keyasint" validate:"gte=1"`
	// Connections is the maximum number of connections to one endpoint from all hosts
	// of the fleet together.
	Connections int `json:"connections" cbor:"4,keyasint" validate:"gte=1"`
	// Database, User and Password are used to connect to the endpoints.
	Database string `json:"database" cbor:"5,keyasint" validate:"required"`
	User     string `json:"user" cbor:"6,keyasint" validate:"required"`
	Password string `json:"password" cbor:"7,keyasint"`
	// Leaving takes the service out of use: it gets no new requests.
	Leaving bool `json:"leaving,omitempty" cbor:"8,keyasint,omitempty"`
	// Ack is the condition under which a commit is acknowledged.
	Ack AckPolicy `json:"ack,omitempty" cbor:"9,keyasint,omitempty"`
	// SyncReplicas is the number of replicas that must have received a commit before
	// the primary acknowledges it, under AckReplicas.
	SyncReplicas int `json:"sync_replicas,omitempty" cbor:"10,keyasint,omitempty" validate:"gte=0"`
}

// AckPolicy determines who ensures that an acknowledged commit survives the loss of the
// primary.
type AckPolicy string

// Acknowledgement policies.
const (
	// AckMajority: the entry host acknowledges a commit once a majority of the group
	// has it. This is the default.
	AckMajority AckPolicy = ""
	// AckReplicas: the primary itself waits for SyncReplicas replicas. With zero
	// replicas, an acknowledged commit may be lost with the primary.
	AckReplicas AckPolicy = "replicas"
)

// UnlimitedEndpoints is the value of Service.Endpoints for a group that accepts every
// endpoint that announces itself. Only a Document can set it; in a release note it is
// invalid.
const UnlimitedEndpoints = 0

// ReadPolicy is the consistency of reads on a route: the commits that a read must see.
type ReadPolicy string

// Read policies.
const (
	// ReadPrimary: every commit acknowledged before the read.
	ReadPrimary ReadPolicy = "primary"
	// ReadBounded: every commit acknowledged longer ago than Route.MaxStaleness.
	ReadBounded ReadPolicy = "bounded"
	// ReadOwnWrites: as ReadBounded, and every commit of the same session.
	ReadOwnWrites ReadPolicy = "own_writes"
)

// Route is a database name that callers connect to.
type Route struct {
	Name     string `json:"name" cbor:"1,keyasint"`
	Database string `json:"database" cbor:"2,keyasint"`
	Service  string `json:"service" cbor:"3,keyasint"`
	// Path distinguishes routes with the same database name. Statements have no path,
	// so the route with the least path serves the database name.
	Path   string     `json:"path,omitempty" cbor:"4,keyasint,omitempty"`
	Policy ReadPolicy `json:"policy" cbor:"5,keyasint"`
	// MaxStaleness is the maximum staleness of a read in milliseconds; zero requires
	// every acknowledged commit.
	MaxStaleness int64 `json:"max_staleness_ms,omitempty" cbor:"6,keyasint,omitempty"`
	// Timeout limits one statement and Target the whole operation, in milliseconds.
	Timeout int64 `json:"timeout_ms" cbor:"7,keyasint"`
	Target  int64 `json:"target_ms,omitempty" cbor:"8,keyasint,omitempty"`
	Class   Class `json:"class" cbor:"9,keyasint"`
	// Open allows connections without a key.
	Open bool `json:"open,omitempty" cbor:"10,keyasint,omitempty"`
}

// Domain is a failure domain.
type Domain struct {
	Name   string `json:"name" cbor:"1,keyasint" validate:"required,max=63"`
	Region string `json:"region" cbor:"2,keyasint" validate:"required,max=63"`
	// Out takes the failure domain out of use: its endpoints get no new requests.
	Out bool `json:"out,omitempty" cbor:"3,keyasint,omitempty"`
}

// Items are the entries that a note adds or changes.
type Items struct {
	Workspaces []Workspace `json:"workspaces,omitempty" cbor:"1,keyasint,omitempty" validate:"dive"`
	Keys       []Key       `json:"keys,omitempty" cbor:"2,keyasint,omitempty" validate:"dive"`
	Services   []Service   `json:"services,omitempty" cbor:"3,keyasint,omitempty" validate:"dive"`
	Domains    []Domain    `json:"domains,omitempty" cbor:"4,keyasint,omitempty" validate:"dive"`
}

// Withdrawals are the entries that a note withdraws: key ids for keys, names otherwise.
type Withdrawals struct {
	Workspaces []string `json:"workspaces,omitempty" cbor:"1,keyasint,omitempty"`
	Keys       []string `json:"keys,omitempty" cbor:"2,keyasint,omitempty"`
	Services   []string `json:"services,omitempty" cbor:"3,keyasint,omitempty"`
	Domains    []string `json:"domains,omitempty" cbor:"4,keyasint,omitempty"`
}

// Note is one release note.
type Note struct {
	// Number must be one more than the number of the last accepted note.
	Number    uint64      `json:"number" cbor:"1,keyasint" validate:"gte=1"`
	Title     string      `json:"title,omitempty" cbor:"2,keyasint,omitempty" validate:"max=200"`
	Added     Items       `json:"added,omitzero" cbor:"3,keyasint,omitzero"`
	Changed   Items       `json:"changed,omitzero" cbor:"4,keyasint,omitzero"`
	Withdrawn Withdrawals `json:"withdrawn,omitzero" cbor:"5,keyasint,omitzero"`
}

// Stamp identifies an accepted note.
type Stamp struct {
	Number uint64 `json:"number" cbor:"1,keyasint"`
	// Digest is the lower-case hexadecimal SHA-256 of the note's canonical JSON.
	Digest string `json:"digest" cbor:"2,keyasint"`
	Title  string `json:"title,omitempty" cbor:"3,keyasint,omitempty"`
	// Accepted is the wall-clock time of the control leader, for display only.
	Accepted time.Time `json:"accepted" cbor:"4,keyasint"`
}

// Catalog is the configuration in force: the result of all accepted notes, or of the
// latest document. A Catalog is immutable once published; Apply returns a changed copy.
type Catalog struct {
	Stamp      Stamp                `json:"stamp" cbor:"1,keyasint"`
	Workspaces map[string]Workspace `json:"workspaces" cbor:"2,keyasint"`
	Keys       map[string]Key       `json:"keys" cbor:"3,keyasint"`
	Services   map[string]Service   `json:"services" cbor:"4,keyasint"`
	Domains    map[string]Domain    `json:"domains" cbor:"5,keyasint"`
	// Routes are the routes keyed by database name.
	Routes map[string]Route `json:"routes,omitempty" cbor:"6,keyasint,omitempty"`
	// IdleTransaction is the idle time in milliseconds after which an open transaction
	// may be ended; zero means never.
	IdleTransaction int64 `json:"idle_transaction_ms,omitempty" cbor:"7,keyasint,omitempty"`
}

// Package note defines release notes: their schema, the checks on each field,
// and how a note changes the catalog of workspaces, keys, services and failure
// domains. The package performs no I/O.
package note

import "time"

// Class is the service class of a request. A lower value has precedence.
type Class string

// Classes in order of precedence.
const (
	ClassInteractive Class = "interactive"
	ClassCorrection  Class = "correction"
	ClassBulk        Class = "bulk"
)

// Workspace is a customer whose callers share keys, a rate and a burst.
type Workspace struct {
	Name string `json:"name" cbor:"1,keyasint" validate:"required,max=63"`
	// Rate is the number of statements per second across the whole fleet.
	Rate float64 `json:"rate" cbor:"2,keyasint" validate:"gt=0"`
	// Burst is the number of statements that may be spent at once.
	Burst float64 `json:"burst" cbor:"3,keyasint" validate:"gte=1"`
	// Weight is the share in a fair queue relative to other workspaces.
	Weight float64 `json:"weight,omitempty" cbor:"4,keyasint,omitempty" validate:"gte=0"`
	// Class is the highest class that its callers may ask for, and the default.
	Class Class `json:"class" cbor:"5,keyasint" validate:"oneof=interactive correction bulk"`
	// Services names the services it may use; empty means all.
	Services []string `json:"services,omitempty" cbor:"6,keyasint,omitempty"`
	// Open lets callers connect as this workspace without a key, for reads only.
	Open bool `json:"open,omitempty" cbor:"7,keyasint,omitempty"`
}

// Key is a credential of a workspace. Several keys of one workspace may be in
// force at once; they share salt and iteration count.
type Key struct {
	ID        string `json:"id" cbor:"1,keyasint" validate:"required,max=63"`
	Workspace string `json:"workspace" cbor:"2,keyasint" validate:"required"`
	// Verifier has PostgreSQL's form SCRAM-SHA-256$ITERATIONS:SALT$STORED:SERVER.
	Verifier string `json:"verifier" cbor:"3,keyasint" validate:"required"`
}

// Service is a database group that callers address by name.
type Service struct {
	Name string `json:"name" cbor:"1,keyasint" validate:"required,max=63"`
	// Endpoints is the number of endpoints in the group.
	Endpoints int `json:"endpoints" cbor:"2,keyasint" validate:"gte=1,lte=9"`
	// Slots is the number of statements that one endpoint runs at once.
	Slots int `json:"slots" cbor:"3,keyasint" validate:"gte=1"`
	// Connections caps the connections to one endpoint over the whole fleet.
	Connections int `json:"connections" cbor:"4,keyasint" validate:"gte=1"`
	// Database, User and Password are galenabridge's own credentials.
	Database string `json:"database" cbor:"5,keyasint" validate:"required"`
	User     string `json:"user" cbor:"6,keyasint" validate:"required"`
	Password string `json:"password" cbor:"7,keyasint"`
	// Leaving takes the service out of use: it gets no new work.
	Leaving bool `json:"leaving,omitempty" cbor:"8,keyasint,omitempty"`
	// Ack tells when the service's own endpoints acknowledge a commit.
	Ack AckPolicy `json:"ack,omitempty" cbor:"9,keyasint,omitempty"`
	// SyncReplicas is the number of replicas that have received a commit before
	// it is acknowledged, under AckReplicas.
	SyncReplicas int `json:"sync_replicas,omitempty" cbor:"10,keyasint,omitempty" validate:"gte=0"`
}

// AckPolicy names who sees to it that an acknowledged commit outlives its
// primary.
type AckPolicy string

// Policies of acknowledgement.
const (
	// AckMajority: the entry host waits until a majority of the group has the
	// commit. It is the default.
	AckMajority AckPolicy = ""
	// AckReplicas: the primary waits for SyncReplicas replicas by itself; with
	// none, a commit may be lost with its primary.
	AckReplicas AckPolicy = "replicas"
)

// UnlimitedEndpoints is the number of Endpoints of a service whose group takes every
// endpoint that announces itself.
const UnlimitedEndpoints = 0

// ReadPolicy tells what a read on a route must see.
type ReadPolicy string

// Read policies.
const (
	// ReadPrimary: every commit acknowledged before the read.
	ReadPrimary ReadPolicy = "primary"
	// ReadBounded: every commit acknowledged longer ago than the route's age.
	ReadBounded ReadPolicy = "bounded"
	// ReadOwnWrites: the same, and every commit of the session itself.
	ReadOwnWrites ReadPolicy = "own_writes"
)

// Route is a database name that callers connect to.
type Route struct {
	Name     string `json:"name" cbor:"1,keyasint"`
	Database string `json:"database" cbor:"2,keyasint"`
	Service  string `json:"service" cbor:"3,keyasint"`
	// Path tells routes of one database name apart. Statements have no path, so
	// the route with the least one serves the name.
	Path   string     `json:"path,omitempty" cbor:"4,keyasint,omitempty"`
	Policy ReadPolicy `json:"policy" cbor:"5,keyasint"`
	// MaxStaleness is the age in milliseconds that a read may have; zero asks
	// for every acknowledged commit.
	MaxStaleness int64 `json:"max_staleness_ms,omitempty" cbor:"6,keyasint,omitempty"`
	// Timeout bounds one statement, Target the whole operation, in milliseconds.
	Timeout int64 `json:"timeout_ms" cbor:"7,keyasint"`
	Target  int64 `json:"target_ms,omitempty" cbor:"8,keyasint,omitempty"`
	Class   Class `json:"class" cbor:"9,keyasint"`
	// Open lets callers in without a key.
	Open bool `json:"open,omitempty" cbor:"10,keyasint,omitempty"`
}

// Domain is a failure domain.
type Domain struct {
	Name   string `json:"name" cbor:"1,keyasint" validate:"required,max=63"`
	Region string `json:"region" cbor:"2,keyasint" validate:"required,max=63"`
	// Out takes the failure domain out of use: its endpoints get no new work.
	Out bool `json:"out,omitempty" cbor:"3,keyasint,omitempty"`
}

// Items are the entries that a note adds or changes.
type Items struct {
	Workspaces []Workspace `json:"workspaces,omitempty" cbor:"1,keyasint,omitempty" validate:"dive"`
	Keys       []Key       `json:"keys,omitempty" cbor:"2,keyasint,omitempty" validate:"dive"`
	Services   []Service   `json:"services,omitempty" cbor:"3,keyasint,omitempty" validate:"dive"`
	Domains    []Domain    `json:"domains,omitempty" cbor:"4,keyasint,omitempty" validate:"dive"`
}

// Withdrawals are the entries that a note withdraws, by name or key id.
type Withdrawals struct {
	Workspaces []string `json:"workspaces,omitempty" cbor:"1,keyasint,omitempty"`
	Keys       []string `json:"keys,omitempty" cbor:"2,keyasint,omitempty"`
	Services   []string `json:"services,omitempty" cbor:"3,keyasint,omitempty"`
	Domains    []string `json:"domains,omitempty" cbor:"4,keyasint,omitempty"`
}

// Note is one release note.
type Note struct {
	// Number is one more than the number of the note in force.
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
	// Accepted is the wall-clock time at the control leader, for display only.
	Accepted time.Time `json:"accepted" cbor:"4,keyasint"`
}

// Catalog is the sum of all accepted notes. A Catalog is immutable once
// published; Apply returns a changed copy.
type Catalog struct {
	Stamp      Stamp                `json:"stamp" cbor:"1,keyasint"`
	Workspaces map[string]Workspace `json:"workspaces" cbor:"2,keyasint"`
	Keys       map[string]Key       `json:"keys" cbor:"3,keyasint"`
	Services   map[string]Service   `json:"services" cbor:"4,keyasint"`
	Domains    map[string]Domain    `json:"domains" cbor:"5,keyasint"`
	// Routes are the routes by database name.
	Routes map[string]Route `json:"routes,omitempty" cbor:"6,keyasint,omitempty"`
	// IdleTransaction is the time in milliseconds after which a transaction
	// without a statement may be ended; zero means never.
	IdleTransaction int64 `json:"idle_transaction_ms,omitempty" cbor:"7,keyasint,omitempty"`
}

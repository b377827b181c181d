package consensus

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// Config holds the settings of a node. Zero values of the optional fields
// select the defaults.
type Config struct {
	// Host is the identity of the control host.
	Host string
	// Peers are the other control hosts. The node sends them join requests while
	// it belongs to no group.
	Peers []string
	// InitialVoters are the hosts, this one included, that form a new group once
	// all of them are up with empty data folders. When empty, the node can only
	// join an existing group.
	InitialVoters []string
	// Rand randomises election timeouts and the identity of a new group.
	// Required.
	Rand *rand.Rand
	// TickInterval is the interval at which the driver calls Tick.
	TickInterval time.Duration
	// ElectionTicks is the minimum election timeout. Each timeout is drawn
	// uniformly from [ElectionTicks, 2*ElectionTicks), except for the first one
	// after a start, which may be shorter.
	ElectionTicks int
	// HeartbeatTicks is the interval of a leader's heartbeats. It must be shorter
	// than ElectionTicks.
	HeartbeatTicks int
	// MaxAppendBytes bounds the size of the entries of one append message. A single
	// entry may exceed it.
	MaxAppendBytes int
	// MaxInflight bounds the unacknowledged append messages per follower.
	MaxInflight int
	// ChunkBytes bounds the snapshot data of one message.
	ChunkBytes int
	// CheckSnapshot returns an error if the application cannot use the data of a snapshot from a
	// peer, which is then ignored; nil accepts all. It is called before anything of it is stored.
	CheckSnapshot func(data []byte) error
	// ToleratedLosses is the number of data folders that may be lost at the same time without the
	// loss of a committed entry; zero selects DefaultToleratedLosses. With open membership the group
	// is not shrunk below the 2*ToleratedLosses+1 voters that this needs.
	ToleratedLosses int
	// FormWithoutLost lets the initial voters form the group although some of them are lost before, if a
	// quorum of all remains. A host that has lost its data folder must not be given InitialVoters again.
	FormWithoutLost bool
	// TrailingEntries is the number of applied entries kept after a snapshot, so that
	// followers that lag by less need no snapshot.
	TrailingEntries uint64
	// TrailingBytes bounds the size of their data.
	TrailingBytes int
}

func (c Config) withDefaults() Config {
	if c.TickInterval == 0 {
		c.TickInterval = DefaultTickInterval
	}
	setDefault(&c.ElectionTicks, DefaultElectionTicks)
	setDefault(&c.HeartbeatTicks, DefaultHeartbeatTicks)
	setDefault(&c.MaxAppendBytes, DefaultMaxAppendBytes)
	setDefault(&c.MaxInflight, DefaultMaxInflight)
	setDefault(&c.ChunkBytes, DefaultChunkBytes)
	setDefault(&c.TrailingBytes, DefaultTrailingBytes)
	setDefault(&c.ToleratedLosses, DefaultToleratedLosses)
	if c.TrailingEntries == 0 {
		c.TrailingEntries = DefaultTrailingEntries
	}
	return c
}

func setDefault(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

func (c Config) check() error {
	switch {
	case c.Host == "":
		return errors.New("consensus: Config.Host is empty")
	case c.Rand == nil:
		return errors.New("consensus: Config.Rand is nil")
	case c.ToleratedLosses < 0:
		return errors.New("consensus: Config.ToleratedLosses is negative")
	case c.HeartbeatTicks >= c.ElectionTicks:
		return errors.New("consensus: heartbeat interval is not shorter than the election timeout")
	}
	return nil
}

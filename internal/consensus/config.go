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
	// Peers are the other control hosts, asked to let this node in while it
	// belongs to no group.
	Peers []string
	// Founders are the hosts, this one included, that found a new group as its
	// voters once all of them are up with empty data folders. Empty: this node
	// waits to be let into a group.
	InitialVoters []string
	// Rand randomises election timeouts and identifies a new group. Required.
	Rand *rand.Rand
	// TickInterval is the time between calls to Tick, for the driver.
	TickInterval time.Duration
	// ElectionTicks is the least election timeout; each timeout is chosen
	// between it and twice its value.
	ElectionTicks  int
	HeartbeatTicks int
	// MaxAppendBytes bounds the entries of one message, except that one entry
	// is always sent.
	MaxAppendBytes int
	// MaxInflight bounds the unanswered append messages per follower.
	MaxInflight int
	// ChunkBytes bounds the snapshot data of one message.
	ChunkBytes int
	// Trailing is the number of applied entries kept after a snapshot so that
	// followers that lag a little need no snapshot.
	TrailingEntries uint64
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
		return errors.New("consensus: no host")
	case c.Rand == nil:
		return errors.New("consensus: no random source")
	case c.HeartbeatTicks >= c.ElectionTicks:
		return errors.New("consensus: heartbeat interval is not shorter than the election timeout")
	}
	return nil
}

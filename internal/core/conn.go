package core

import (
	"maps"
	"strconv"
)

// preparedStatement is the content of a prepared statement, regardless of its name.
type preparedStatement struct {
	text   string
	writes bool
}

// conn is a connection to an endpoint with a record of the session state that is set
// on it. It is not safe for concurrent use.
type conn struct {
	Link
	// values are the session values that are set; prepared maps each statement to its
	// name on this connection.
	values        map[string]string
	prepared      map[preparedStatement]string
	preparedCount int
	// stateBytes is the memory of values and prepared.
	stateBytes int64
	// stateUnknown: the connection may differ from the record, as after a rollback, so
	// that its state is discarded before the next use.
	stateUnknown bool
	// lastSession is the ID of the session that last checked the connection out.
	lastSession uint64
}

func newConn(l Link) *conn {
	return &conn{Link: l, values: map[string]string{}, prepared: map[preparedStatement]string{}}
}

// matches reports whether the connection already holds exactly the given values.
func (c *conn) matches(values map[string]string) bool {
	return !c.stateUnknown && maps.Equal(c.values, values)
}

// restoreCommands returns the commands after which the connection holds exactly the
// given values, and the prepared statement if one is given. It updates the record
// immediately, so the caller must close the connection unless every command succeeds.
func (c *conn) restoreCommands(values map[string]string, needed *preparedStatement) []Command {
	var commands []Command
	if c.stateUnknown || !c.isSubset(values) {
		commands = append(commands, Command{Statement: Statement{Kind: Discard}})
		c.forgetState(false)
	}
	for name, value := range values {
		if current, ok := c.values[name]; !ok || current != value {
			commands = append(commands, Command{Statement: Statement{Kind: SetValue, Name: name, Text: value}})
			if ok {
				c.stateBytes -= keptSize(name, current)
			}
			c.stateBytes += keptSize(name, value)
			c.values[name] = value
		}
	}
	if needed != nil && c.prepared[*needed] == "" {
		c.preparedCount++
		name := "g" + strconv.Itoa(c.preparedCount)
		c.prepared[*needed] = name
		c.stateBytes += keptSize(name, needed.text)
		commands = append(commands, Command{Statement: Statement{Kind: Prepare, Name: name, Text: needed.text, Writes: needed.writes}})
	}
	return commands
}

// maxConnStateBytes bounds the values and prepared statements on a connection in the pool, above what
// the sessions of a workspace usually have in common.
const maxConnStateBytes = 128 << 10

// trim drops the record of a connection that holds too much. The endpoint discards it before the next
// use.
func (c *conn) trim() {
	if c.stateBytes > maxConnStateBytes {
		c.forgetState(true)
	}
}

// forgetState drops the record of the state. unknown tells whether the endpoint still has to discard
// the state.
func (c *conn) forgetState(unknown bool) {
	c.values, c.prepared = map[string]string{}, map[preparedStatement]string{}
	c.stateBytes, c.stateUnknown = 0, unknown
}

// isSubset reports whether the session sets every value that the connection holds. A
// single value cannot be unset, so any other value requires a full discard.
func (c *conn) isSubset(values map[string]string) bool {
	for name := range c.values {
		if _, ok := values[name]; !ok {
			return false
		}
	}
	return true
}

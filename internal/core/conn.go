package core

import (
	"maps"
	"strconv"
)

// shape is what a prepared statement runs; names do not matter.
type shape struct {
	text   string
	writes bool
}

// conn is a connection to an endpoint with what it holds for its users. One
// task uses it at a time.
type conn struct {
	Link
	// values are the session values in force, prepared the names by shape.
	values   map[string]string
	prepared map[shape]string
	named    int
	// unknown: the values may differ from the record, as after a rollback, so
	// that everything is discarded before the next use.
	unknown bool
	// user is the session that used the connection last.
	user uint64
}

func newConn(l Link) *conn {
	return &conn{Link: l, values: map[string]string{}, prepared: map[shape]string{}}
}

// fits reports whether the connection needs no restoring for a session.
func (c *conn) fits(values map[string]string) bool {
	return !c.unknown && maps.Equal(c.values, values)
}

// restore returns the commands after which the connection holds exactly the
// given values, and the shape if one is given. The record is updated at once:
// the caller closes the connection unless every command succeeds.
func (c *conn) restore(values map[string]string, needed *shape) []Command {
	var commands []Command
	if c.unknown || !c.isSubset(values) {
		commands = append(commands, Command{Statement: Statement{Kind: Discard}})
		c.values, c.prepared, c.unknown = map[string]string{}, map[shape]string{}, false
	}
	for name, value := range values {
		if held, ok := c.values[name]; !ok || held != value {
			commands = append(commands, Command{Statement: Statement{Kind: SetValue, Name: name, Text: value}})
			c.values[name] = value
		}
	}
	if needed != nil && c.prepared[*needed] == "" {
		c.named++
		name := "g" + strconv.Itoa(c.named)
		c.prepared[*needed] = name
		commands = append(commands, Command{Statement: Statement{Kind: Prepare, Name: name, Text: needed.text, Writes: needed.writes}})
	}
	return commands
}

// isSubset reports whether every value that the connection holds is set by the
// session: a value cannot be taken back by itself.
func (c *conn) isSubset(values map[string]string) bool {
	for name := range c.values {
		if _, ok := values[name]; !ok {
			return false
		}
	}
	return true
}

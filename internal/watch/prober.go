// Package watch probes the endpoints of database groups: on entry hosts on behalf of
// the host's failure domain, on the control leader when a failover requests positions.
// It also sends the orders to promote an endpoint.
package watch

import (
	"context"
	"strconv"
	"sync"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/failover"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/pgback"
)

// Queries to an endpoint. A replica that has received nothing since its start has no
// receive position, so that its replay position counts.
const (
	queryCondition = "SELECT pg_is_in_recovery(); SELECT timeline_id FROM pg_control_checkpoint()"
	queryPrimary   = "SELECT pg_current_wal_lsn()"
	queryReplica   = "SELECT pg_last_wal_receive_lsn(); SELECT pg_last_wal_replay_lsn()"
	queryPromote   = "SELECT pg_promote()"
)

// Prober probes endpoints and keeps one connection to each. It is safe for concurrent
// use; queries to one endpoint run one at a time.
type Prober struct {
	mu        sync.Mutex
	endpoints map[string]*endpointConn
}

// endpointConn is the connection to one endpoint. A call holds the only token of sem
// while it uses the connection.
type endpointConn struct {
	sem    chan struct{}
	target pgback.Target
	conn   *pgback.Conn
}

// NewProber returns a Prober without connections.
func NewProber() *Prober {
	return &Prober{endpoints: make(map[string]*endpointConn)}
}

// Probe implements control.EndpointManager. It returns the zero Condition, with Reachable
// false, if a query fails or the endpoint does not answer before ctx ends.
func (p *Prober) Probe(ctx context.Context, service note.Service, e agreed.Endpoint) failover.Condition {
	return p.probeWith(ctx, service, e, readCondition)
}

// ProbeRole is like Probe but omits the position, which saves a round trip.
func (p *Prober) ProbeRole(ctx context.Context, service note.Service, e agreed.Endpoint) failover.Condition {
	return p.probeWith(ctx, service, e, readRole)
}

func (p *Prober) probeWith(
	ctx context.Context, service note.Service, e agreed.Endpoint,
	read func(context.Context, *pgback.Conn) (failover.Condition, error),
) failover.Condition {
	var c failover.Condition
	err := p.withConn(ctx, service, e, func(conn *pgback.Conn) error {
		var err error
		c, err = read(ctx, conn)
		return err
	})
	if err != nil {
		return failover.Condition{}
	}
	return c
}

// Promote implements control.EndpointManager. It has no effect on a primary.
func (p *Prober) Promote(ctx context.Context, o failover.Order) (failover.OrderOutcome, error) {
	err := p.withConn(ctx, o.Service, o.Endpoint, func(conn *pgback.Conn) error {
		rows, err := conn.Query(ctx, queryCondition)
		if err != nil {
			return err
		}
		inRecovery, err := cell(rows, 0)
		if err != nil || inRecovery != "t" {
			return err
		}
		_, err = conn.Query(ctx, queryPromote)
		return err
	})
	if err != nil {
		return failover.OrderRefused, err
	}
	return failover.OrderAccepted, nil
}

// CloseExcept closes the connections to endpoints for which keep is false, except those
// in use.
func (p *Prober) CloseExcept(keep func(endpoint string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, e := range p.endpoints {
		if keep(id) {
			continue
		}
		select {
		case <-e.sem:
			e.close()
			delete(p.endpoints, id)
			e.sem <- struct{}{}
		default: // in use; a later call closes it
		}
	}
}

// withConn calls use with the connection to the endpoint, which it opens when needed
// and closes after a failure.
func (p *Prober) withConn(ctx context.Context, service note.Service, e agreed.Endpoint, use func(*pgback.Conn) error) error {
	target := pgback.Target{
		Endpoint: e.ID, Addr: e.Addr,
		Database: service.Database, User: service.User, Password: service.Password,
	}
	ec := p.get(e.ID)
	select {
	case <-ec.sem:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { ec.sem <- struct{}{} }()
	if err := ec.open(ctx, target); err != nil {
		return err
	}
	err := use(ec.conn)
	if err != nil {
		ec.close()
	}
	return err
}

// get returns the endpoint's entry, which it creates when needed.
func (p *Prober) get(endpoint string) *endpointConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	ec, ok := p.endpoints[endpoint]
	if !ok {
		ec = &endpointConn{sem: make(chan struct{}, 1)}
		ec.sem <- struct{}{}
		p.endpoints[endpoint] = ec
	}
	return ec
}

// open connects to the target unless the current connection is already to that target.
func (ec *endpointConn) open(ctx context.Context, target pgback.Target) error {
	if ec.conn != nil && ec.target != target {
		ec.close()
	}
	if ec.conn != nil {
		return nil
	}
	conn, err := pgback.Dial(ctx, target)
	if err != nil {
		return err
	}
	ec.conn, ec.target = conn, target
	return nil
}

func (ec *endpointConn) close() {
	if ec.conn != nil {
		ec.conn.Close()
		ec.conn = nil
	}
}

// readCondition queries role, timeline and position.
func readCondition(ctx context.Context, conn *pgback.Conn) (failover.Condition, error) {
	c, err := readRole(ctx, conn)
	if err != nil {
		return c, err
	}
	c.Position, err = readPosition(ctx, conn, c.InRecovery)
	return c, err
}

// readRole queries the role and the timeline.
func readRole(ctx context.Context, conn *pgback.Conn) (failover.Condition, error) {
	c := failover.Condition{Reachable: true}
	rows, err := conn.Query(ctx, queryCondition)
	if err != nil {
		return c, err
	}
	inRecovery, err := cell(rows, 0)
	if err != nil {
		return c, err
	}
	c.InRecovery = inRecovery == "t"
	text, err := cell(rows, 1)
	if err != nil {
		return c, err
	}
	timeline, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return c, errors.Wrap(err, "timeline")
	}
	c.Timeline = uint32(timeline)
	return c, nil
}

// readPosition returns the flushed position of a primary, or the greater of the
// received and replayed positions of a replica.
func readPosition(ctx context.Context, conn *pgback.Conn, inRecovery bool) (uint64, error) {
	query := queryPrimary
	if inRecovery {
		query = queryReplica
	}
	rows, err := conn.Query(ctx, query)
	if err != nil {
		return 0, err
	}
	var position uint64
	for i := range rows {
		text, err := cell(rows, i)
		if err != nil {
			return 0, err
		}
		if text == "" {
			continue // NULL
		}
		lsn, err := pgback.ParseLSN(text)
		if err != nil {
			return 0, err
		}
		position = max(position, lsn)
	}
	return position, nil
}

// cell returns the only value in the result of the i-th statement.
func cell(rows []pgback.Rows, i int) (string, error) {
	if i >= len(rows) || len(rows[i]) != 1 || len(rows[i][0]) != 1 {
		return "", errors.New("endpoint returned a result that is not a single value")
	}
	return rows[i][0][0], nil
}

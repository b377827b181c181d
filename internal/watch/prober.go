// Package watch probes the endpoints of database groups: on entry hosts for
// the failure domain that the host stands in, on the control leader when a
// failover asks for positions. It also orders promotions.
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

// Questions to an endpoint. A replica that has received nothing since its start
// reports what it has replayed.
const (
	queryCondition = "SELECT pg_is_in_recovery(); SELECT timeline_id FROM pg_control_checkpoint()"
	queryPrimary   = "SELECT pg_current_wal_lsn()"
	queryReplica   = "SELECT pg_last_wal_receive_lsn(); SELECT pg_last_wal_replay_lsn()"
	queryPromote   = "SELECT pg_promote()"
)

// Prober keeps one connection to each endpoint that it is asked about. It is
// safe for concurrent use; questions to one endpoint take turns.
type Prober struct {
	mu        sync.Mutex
	endpoints map[string]*probe
}

// probe is the connection to one endpoint. turn holds one token.
type probe struct {
	turn   chan struct{}
	target pgback.Target
	conn   *pgback.Conn
}

// NewProber returns a Prober without connections.
func NewProber() *Prober {
	return &Prober{endpoints: make(map[string]*probe)}
}

// Probe implements control.EndpointManager. An endpoint that does not answer before
// ctx ends is not reachable.
func (p *Prober) Probe(ctx context.Context, service note.Service, e agreed.Endpoint) failover.Condition {
	return p.ask(ctx, service, e, readCondition)
}

// Glance is like Probe but leaves the position out, which saves a round trip.
func (p *Prober) ProbeRole(ctx context.Context, service note.Service, e agreed.Endpoint) failover.Condition {
	return p.ask(ctx, service, e, readRole)
}

func (p *Prober) ask(
	ctx context.Context, service note.Service, e agreed.Endpoint,
	read func(context.Context, *pgback.Conn) (failover.Condition, error),
) failover.Condition {
	var c failover.Condition
	err := p.with(ctx, service, e, func(conn *pgback.Conn) error {
		var err error
		c, err = read(ctx, conn)
		return err
	})
	if err != nil {
		return failover.Condition{}
	}
	return c
}

// Promote implements control.EndpointManager. It does nothing on a primary.
func (p *Prober) Promote(ctx context.Context, o failover.Order) (failover.OrderOutcome, error) {
	err := p.with(ctx, o.Service, o.Endpoint, func(conn *pgback.Conn) error {
		rows, err := conn.Query(ctx, queryCondition)
		if err != nil {
			return err
		}
		recovering, err := cell(rows, 0)
		if err != nil || recovering != "t" {
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

// Forget closes the connections to endpoints for which keep is false.
func (p *Prober) CloseExcept(keep func(endpoint string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, e := range p.endpoints {
		if keep(id) {
			continue
		}
		select {
		case <-e.turn:
			e.close()
			delete(p.endpoints, id)
			e.turn <- struct{}{}
		default: // in use; the next call closes it
		}
	}
}

// with runs ask on the connection to the endpoint, which it opens when needed
// and closes after a failure.
func (p *Prober) with(ctx context.Context, service note.Service, e agreed.Endpoint, ask func(*pgback.Conn) error) error {
	target := pgback.Target{
		Endpoint: e.ID, Addr: e.Addr,
		Database: service.Database, User: service.User, Password: service.Password,
	}
	pr := p.get(e.ID)
	select {
	case <-pr.turn:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { pr.turn <- struct{}{} }()
	if err := pr.open(ctx, target); err != nil {
		return err
	}
	err := ask(pr.conn)
	if err != nil {
		pr.close()
	}
	return err
}

func (p *Prober) get(endpoint string) *probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	pr, ok := p.endpoints[endpoint]
	if !ok {
		pr = &probe{turn: make(chan struct{}, 1)}
		pr.turn <- struct{}{}
		p.endpoints[endpoint] = pr
	}
	return pr
}

func (pr *probe) open(ctx context.Context, target pgback.Target) error {
	if pr.conn != nil && pr.target != target {
		pr.close()
	}
	if pr.conn != nil {
		return nil
	}
	conn, err := pgback.Dial(ctx, target)
	if err != nil {
		return err
	}
	pr.conn, pr.target = conn, target
	return nil
}

func (pr *probe) close() {
	if pr.conn != nil {
		pr.conn.Close()
		pr.conn = nil
	}
}

func readCondition(ctx context.Context, conn *pgback.Conn) (failover.Condition, error) {
	c, err := readRole(ctx, conn)
	if err != nil {
		return c, err
	}
	c.Position, err = readPosition(ctx, conn, c.InRecovery)
	return c, err
}

// readRole asks for role and timeline.
func readRole(ctx context.Context, conn *pgback.Conn) (failover.Condition, error) {
	c := failover.Condition{Reachable: true}
	rows, err := conn.Query(ctx, queryCondition)
	if err != nil {
		return c, err
	}
	recovering, err := cell(rows, 0)
	if err != nil {
		return c, err
	}
	c.InRecovery = recovering == "t"
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

func readPosition(ctx context.Context, conn *pgback.Conn, inRecovery bool) (uint64, error) {
	question := queryPrimary
	if inRecovery {
		question = queryReplica
	}
	rows, err := conn.Query(ctx, question)
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
			continue // a null
		}
		lsn, err := pgback.ParseLSN(text)
		if err != nil {
			return 0, err
		}
		position = max(position, lsn)
	}
	return position, nil
}

// cell returns the only value of the i-th statement's answer.
func cell(rows []pgback.Rows, i int) (string, error) {
	if i >= len(rows) || len(rows[i]) != 1 || len(rows[i][0]) != 1 {
		return "", errors.New("unexpected answer of the endpoint")
	}
	return rows[i][0][0], nil
}

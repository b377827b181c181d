package bench

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"
)

// checkTimeout bounds the final check of all workspaces and services.
const checkTimeout = 5 * time.Minute

// hash returns the FNV-1a hash of text, which seeds a caller's random numbers.
func hash(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text)) // never fails
	return h.Sum64()
}

// checkAll compares the writes that were sent with the stored rows and adds the
// violations to res. It sets res.Checked only if it has compared every workspace and
// service.
func (r *runner) checkAll(ctx context.Context, res *Result) error {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	for _, w := range r.profile.Workspaces {
		for _, service := range r.profile.services(w) {
			if err := r.checkWorkspace(ctx, res, w.Name, service); err != nil {
				return errors.Wrapf(err, "check of workspace %s in service %s", w.Name, service)
			}
		}
	}
	res.Checked = true
	return nil
}

// checkWorkspace checks the records and corrections of one workspace in one
// service.
func (r *runner) checkWorkspace(ctx context.Context, res *Result, workspace, service string) error {
	conn, err := pgx.Connect(ctx, r.target.CheckURL(workspace, service))
	if err != nil {
		return err
	}
	defer closeConn(conn)
	writes := r.writeLogs[workspace]
	for _, kind := range []struct {
		table string
		sent  []*sentWrite
	}{{"records", writes.records}, {"corrections", writes.corrections}} {
		stored, err := countStoredIDs(ctx, conn, kind.table, workspace)
		if err != nil {
			return err
		}
		res.Violations.checkStored(kind.table, filterByService(kind.sent, service), stored)
	}
	return nil
}

func filterByService(writes []*sentWrite, service string) []*sentWrite {
	var out []*sentWrite
	for _, w := range writes {
		if w.service == service {
			out = append(out, w)
		}
	}
	return out
}

// countStoredIDs returns how many rows the table holds for each id of a workspace.
func countStoredIDs(ctx context.Context, conn *pgx.Conn, table, workspace string) (map[string]int, error) {
	rows, err := conn.Query(ctx, "select id from "+table+" where workspace = $1", workspace)
	if err != nil {
		return nil, err
	}
	ids, err := pgx.CollectRows(rows, pgx.RowTo[string])
	if err != nil {
		return nil, err
	}
	stored := make(map[string]int, len(ids))
	for _, id := range ids {
		stored[id]++
	}
	return stored, nil
}

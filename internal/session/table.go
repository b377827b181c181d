package session

// Table holds the positions of the writes that a host has acknowledged in one
// service and that some replica may not have replayed yet.
type Table struct {
	// Base is the latest pruned position. Every replica had replayed it when it
	// was pruned, but a replica that joined later may not have.
	Base Position `cbor:"1,keyasint"`
	// Acked holds the latest acknowledged position by workspace.
	Acked map[string]Position `cbor:"2,keyasint"`
}

// positionFor returns the position that a read of the workspace must include.
func (t *Table) positionFor(workspace string) Position {
	return later(t.Base, t.Acked[workspace])
}

// recordAcked adds an acknowledged position. Positions never decrease.
func (t *Table) recordAcked(workspace string, p Position) {
	if t.Acked == nil {
		t.Acked = make(map[string]Position)
	}
	t.Acked[workspace] = later(t.Acked[workspace], p)
}

// prune removes the workspaces whose writes all replicas have replayed. Base covers
// them from then on.
func (t *Table) prune(replayed Position) {
	for workspace, p := range t.Acked {
		if replayed.Before(p) {
			continue
		}
		t.Base = later(t.Base, p)
		delete(t.Acked, workspace)
	}
}

// merge adds the positions of another host's table. Where this host or the other one does not know
// the life, they count as positions in the current one.
func (t *Table) merge(other Table, life uint64) {
	inLife := func(p Position) Position {
		if p != (Position{}) && (p.Life == 0 || life == 0) {
			p.Life = life
		}
		return p
	}
	t.Base = later(t.Base, inLife(other.Base))
	for workspace, p := range other.Acked {
		t.recordAcked(workspace, inLife(p))
	}
}

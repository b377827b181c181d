package session

// Table holds the positions of the writes that a host has acknowledged in one
// service and that some replica may not have replayed yet.
type Table struct {
	// Base is the latest position that was pruned. Every replica had it then;
	// one that joins later may not.
	Base Position `cbor:"1,keyasint"`
	// Acked holds the latest position by workspace.
	Acked map[string]Position `cbor:"2,keyasint"`
}

// at returns the position that the table demands for a workspace.
func (t *Table) at(workspace string) Position {
	return later(t.Base, t.Acked[workspace])
}

func (t *Table) acked(workspace string, p Position) {
	if t.Acked == nil {
		t.Acked = make(map[string]Position)
	}
	t.Acked[workspace] = later(t.Acked[workspace], p)
}

// prune forgets the workspaces whose writes all replicas have.
func (t *Table) prune(replayed Position) {
	for workspace, p := range t.Acked {
		if replayed.Before(p) {
			continue
		}
		t.Base = later(t.Base, p)
		delete(t.Acked, workspace)
	}
}

// merge takes in the positions of another host.
func (t *Table) merge(other Table) {
	t.Base = later(t.Base, other.Base)
	for workspace, p := range other.Acked {
		t.acked(workspace, p)
	}
}

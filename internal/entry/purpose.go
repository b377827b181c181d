package entry

// purpose sums up what a unit does, as far as routing needs it.
type purpose struct {
	kind kind
	// dirty tells that the connection must be reset afterwards.
	dirty bool
	// executes tells that the unit runs statements, not only prepares them.
	executes bool
	// own tells that all statements are answered at the entry.
	own bool
	// why is set for unsupported statements.
	why string
}

const whyMixed = "parameters of galenabridge together with other statements in one pipeline"

// purpose classifies the unit.
func (u *unit) purpose() purpose {
	if u.simple {
		return purpose{
			kind: u.class.kind, dirty: u.class.dirty, executes: true,
			own: u.class.isOwn(), why: u.class.why,
		}
	}
	mentioned, executed := u.classes()
	p := purpose{kind: kindRead, executes: len(executed) > 0}
	if len(mentioned) == 0 {
		return p
	}
	p.own = mentioned[0].isOwn()
	for _, c := range mentioned {
		if c.kind == kindUnsupported {
			return purpose{kind: kindUnsupported, why: c.why}
		}
		if c.isOwn() != p.own {
			return purpose{kind: kindUnsupported, why: whyMixed}
		}
	}
	if len(executed) == 0 {
		executed = mentioned
	}
	p.join(executed)
	return p
}

func (c class) isOwn() bool { return c.kind == kindOwn || c.kind == kindDeallocate }

// join makes the first statement decide, except that a read followed by
// another kind counts as a write.
func (p *purpose) join(classes []class) {
	p.kind = classes[0].kind
	for _, c := range classes {
		p.dirty = p.dirty || c.dirty
		if p.kind == kindRead && c.kind != kindRead && c.kind != kindEmpty {
			p.kind = kindWrite
		}
		if p.kind == kindSet && c.kind != kindSet {
			p.kind, p.dirty = kindWrite, true
		}
	}
}

// classes returns the classes of the statements that the unit mentions and of
// those that it executes.
func (u *unit) classes() (mentioned, executed []class) {
	for _, o := range u.ops {
		if o.stmt == nil {
			continue
		}
		mentioned = append(mentioned, o.stmt.class)
		if o.kind == opExecute {
			executed = append(executed, o.stmt.class)
		}
	}
	return mentioned, executed
}

// onlyCloses reports whether the unit does nothing but close statements and
// portals.
func (u *unit) onlyCloses() bool {
	for _, o := range u.ops {
		if o.kind != opCloseStatement && o.kind != opClosePortal {
			return false
		}
	}
	return true
}

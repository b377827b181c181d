package entry

// purpose sums up what a unit does, as far as routing needs it.
type unitClass struct {
	kind kind
	// dirty tells that the connection must be reset afterwards.
	dirty bool
	// executes tells that the unit runs statements, not only prepares them.
	executes bool
	// own tells that all statements are answered at the entry.
	local bool
	// why is set for unsupported statements.
	feature string
}

const featureMixedParams = "parameters of galenabridge together with other statements in one pipeline"

// purpose classifies the unit.
func (u *unit) classify() unitClass {
	if u.simple {
		return unitClass{
			kind: u.class.kind, dirty: u.class.dirty, executes: true,
			local: u.class.answeredLocally(), feature: u.class.feature,
		}
	}
	mentioned, executed := u.statementClasses()
	uc := unitClass{kind: kindRead, executes: len(executed) > 0}
	if len(mentioned) == 0 {
		return uc
	}
	uc.local = mentioned[0].answeredLocally()
	for _, c := range mentioned {
		if c.kind == kindUnsupported {
			return unitClass{kind: kindUnsupported, feature: c.feature}
		}
		if c.answeredLocally() != uc.local {
			return unitClass{kind: kindUnsupported, feature: featureMixedParams}
		}
	}
	if len(executed) == 0 {
		executed = mentioned
	}
	uc.combine(executed)
	return uc
}

func (c class) answeredLocally() bool { return c.kind == kindProxyParam || c.kind == kindDeallocate }

// join makes the first statement decide, except that a read followed by
// another kind counts as a write.
func (uc *unitClass) combine(classes []class) {
	uc.kind = classes[0].kind
	for _, c := range classes {
		uc.dirty = uc.dirty || c.dirty
		if uc.kind == kindRead && c.kind != kindRead && c.kind != kindEmpty {
			uc.kind = kindWrite
		}
		if uc.kind == kindSet && c.kind != kindSet {
			uc.kind, uc.dirty = kindWrite, true
		}
	}
}

// classes returns the classes of the statements that the unit mentions and of
// those that it executes.
func (u *unit) statementClasses() (mentioned, executed []class) {
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

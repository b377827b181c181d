package entry

// unitClass is the classification of a unit, for routing.
type unitClass struct {
	kind kind
	// dirty: the connection must be reset before another session uses it.
	dirty bool
	// executes: the unit executes statements rather than only prepares or describes them.
	executes bool
	// local: all statements are answered at the entry.
	local bool
	// feature is the unsupported feature; set for kindUnsupported.
	feature string
}

// featureMixedParams is the feature reported for a pipeline that mixes statements answered
// at the entry with others.
const featureMixedParams = "galenabridge parameters together with other statements in one pipeline"

// classify returns the classification of the unit.
func (u *unit) classify() unitClass {
	if u.simple {
		return unitClass{
			kind: u.class.kind, dirty: u.class.dirty, executes: true,
			local: u.class.answeredLocally(), feature: u.class.feature,
		}
	}
	referenced, executed := u.statementClasses()
	uc := unitClass{kind: kindRead, executes: len(executed) > 0}
	if len(referenced) == 0 {
		return uc
	}
	uc.local = referenced[0].answeredLocally()
	for _, c := range referenced {
		if c.kind == kindUnsupported {
			return unitClass{kind: kindUnsupported, feature: c.feature}
		}
		if c.answeredLocally() != uc.local {
			return unitClass{kind: kindUnsupported, feature: featureMixedParams}
		}
	}
	if len(executed) == 0 {
		executed = referenced
	}
	uc.combine(executed)
	return uc
}

// answeredLocally reports whether the entry answers the statement itself.
func (c class) answeredLocally() bool { return c.kind == kindProxyParam || c.kind == kindDeallocate }

// combine derives the kind from the statements: it is that of the first one, except that a
// read or SET followed by another kind counts as a write. Empty statements after a read
// change nothing. The unit is dirty if any statement is.
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

// statementClasses returns the classes of the statements that the unit refers to and of
// those that it executes.
func (u *unit) statementClasses() (referenced, executed []class) {
	for _, o := range u.ops {
		if o.stmt == nil {
			continue
		}
		referenced = append(referenced, o.stmt.class)
		if o.kind == opExecute {
			executed = append(executed, o.stmt.class)
		}
	}
	return referenced, executed
}

// onlyCloses reports whether all messages of the unit close statements or portals. It is
// true for an empty unit.
func (u *unit) onlyCloses() bool {
	for _, o := range u.ops {
		if o.kind != opCloseStatement && o.kind != opClosePortal {
			return false
		}
	}
	return true
}

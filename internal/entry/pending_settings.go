package entry

import "strings"

// pendingSettings are the SET and RESET statements of a transaction in progress, which take effect
// for the session when it commits.
type pendingSettings struct {
	statements []string
	// savepoints are the open savepoints in their order.
	savepoints []settingsMark
	// undone: statements were undone with a savepoint.
	undone bool
}

// settingsMark is a savepoint and the number of statements before it.
type settingsMark struct {
	name  string
	count int
}

// apply records a statement that the endpoint has run in the transaction. Like the endpoint, it
// undoes settings that were made after the savepoint of a ROLLBACK TO.
func (p *pendingSettings) apply(text string, setting bool) {
	if setting {
		p.statements = append(p.statements, text)
		return
	}
	switch word, rest := splitFirstWord(text); word {
	case "SAVEPOINT":
		p.savepoints = append(p.savepoints, settingsMark{name: savepointName(rest), count: len(p.statements)})
	case "RELEASE", "ROLLBACK", "ABORT":
		p.endSavepoint(savepointName(rest), word != "RELEASE")
	}
}

// endSavepoint ends the last savepoint with a name and those after it; a rollback keeps the named
// one. It does nothing without such a savepoint, as for a rollback of the whole transaction.
func (p *pendingSettings) endSavepoint(name string, rollback bool) {
	at := len(p.savepoints) - 1
	for at >= 0 && p.savepoints[at].name != name {
		at--
	}
	if at < 0 {
		return
	}
	if !rollback {
		p.savepoints = p.savepoints[:at]
		return
	}
	p.undone = p.undone || len(p.statements) > p.savepoints[at].count
	p.statements = p.statements[:p.savepoints[at].count]
	p.savepoints = p.savepoints[:at+1]
}

// savepointName returns the name at the end of a statement about a savepoint, in lower case unless
// it is quoted.
func savepointName(rest string) string {
	fields := strings.Fields(strings.TrimRight(strings.TrimSpace(rest), "; "))
	if len(fields) == 0 {
		return ""
	}
	name := fields[len(fields)-1]
	if quoted, ok := strings.CutPrefix(name, `"`); ok {
		return strings.TrimSuffix(quoted, `"`)
	}
	return strings.ToLower(name)
}

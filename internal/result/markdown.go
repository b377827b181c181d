package result

import (
	"bytes"
	"fmt"
)

const markdownHeader = `# Result codes

Every refusal carries a numbered code. Callers see it at the start of the
message (` + "`GB2003 deadline_in_queue: ...`" + `) with the SQLSTATE of the table; operators
see it as ` + "`code`" + ` and ` + "`name`" + ` in JSON. "Not run" tells whether the request surely
had no effect, so that it may be repeated.

This page is written from internal/result/table.go; a test keeps the two equal
(` + "`go test ./internal/result -update`" + ` rewrites it).

| code | name | SQLSTATE | not run | meaning | what to do |
|---|---|---|---|---|---|
`

// Markdown returns the documentation page of all result codes.
func Markdown() []byte {
	var b bytes.Buffer
	b.WriteString(markdownHeader)
	for _, info := range Table {
		notRun := "no"
		if info.NotRun {
			notRun = "yes"
		}
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s | %s |\n",
			info.Code, info.Name, info.SQLState, notRun, info.Meaning, info.Action)
	}
	return b.Bytes()
}

package entry

import (
	"testing"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
)

// TestTransactionRefusedWhenDomainIsOut guards against a transaction, read-only or not, that goes on
// at an endpoint whose failure domain was taken out of use.
func TestTransactionRefusedWhenDomainIsOut(t *testing.T) {
	for name, begin := range map[string]string{"read-write": "begin", "read-only": "begin read only"} {
		for _, next := range []string{"select 1", "commit"} {
			t.Run(name+" "+next, func(t *testing.T) {
				f := newFixture(t, fixtureConfig{})
				conn := f.connect("")
				mustExec(t, conn, begin)
				mustExec(t, conn, "select 1")
				f.publish(func(s *agreed.State) {
					s.Catalog.Domains = map[string]note.Domain{"osan": {Name: "osan", Out: true}}
				})
				_, err := conn.Exec(testContext(t), next)
				wantCode(t, err, result.TransactionAborted)
			})
		}
	}
}

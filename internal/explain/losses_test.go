package explain

import (
	"bytes"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

const lossLog = `time=2026-12-04T12:00:04.200Z level=info msg=lease_gained host=front-1 role=entry revision=40
time=2026-12-04T12:00:05.300Z level=info msg=statement_late host=front-1 request=a took_ms=900 rate_ms=800 endpoint_ms=50
time=2026-12-04T12:00:05.400Z level=info msg=statement_late host=front-2 request=b took_ms=500 slot_ms=100 connection_ms=300
time=2026-12-04T12:00:05.500Z level=info msg=statement_late host=front-2 request=c took_ms=900 endpoint_ms=30
time=2026-12-04T12:00:05.600Z level=warn msg=statement_refused host=front-1 request=d code=2003 result=deadline_in_queue took_ms=800 rate_ms=800
time=2026-12-04T12:00:07.000Z level=warn msg=statement_refused host=front-1 request=e code=2003 result=deadline_in_queue took_ms=800
time=2026-12-04T12:00:07.100Z level=warn msg=statement_refused host=front-1 request=f code=2002 result=no_primary took_ms=800
time=2026-12-04T12:00:07.200Z level=warn msg=statement_refused host=front-2 request=g code=2003 result=deadline_in_queue took_ms=800
`

func TestAccountByCauseAndInterval(t *testing.T) {
	all := Account(read(t, lossLog), time.Second)
	var text bytes.Buffer
	if err := WriteAccount(&text, all); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "losses", text.Bytes())
	total := 0
	for _, l := range all {
		total += sum(l.Late) + sum(l.Refused)
	}
	if total != 7 {
		t.Errorf("%d losses counted, want all 7 lines", total)
	}
}

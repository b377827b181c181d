package announce

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/control"
	"github.com/galenabridge/galenabridge/internal/view"
)

// recorder is a Sender that records announcements.
type recorder struct{ got []control.Announcement }

func (r *recorder) Announce(a control.Announcement) { r.got = append(r.got, a) }

func post(h http.Handler, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/announce", strings.NewReader(body)))
	return w
}

const validBody = `{"service":"log","id":"b","addr":"127.0.0.1:5432","domain":"d","role":"replica","timeline":3,"lsn":"1/A0"}`

func TestHandlerForwardsAnnouncement(t *testing.T) {
	publisher := view.NewPublisher()
	state := agreed.New()
	state.Groups["log"] = agreed.Group{Service: "log", Term: 4, Primary: "a", Phase: agreed.PhaseActive}
	state.Endpoints["a"] = agreed.Endpoint{ID: "a", Addr: "127.0.0.1:1"}
	publisher.Publish(view.View{State: state})
	var sender recorder
	w := post(NewHandler(publisher, &sender), validBody)
	want := `{"term":4,"phase":"active","primary":"a","primary_addr":"127.0.0.1:1","member":false}`
	if w.Code != http.StatusOK || strings.TrimSpace(w.Body.String()) != want {
		t.Fatalf("response %d %s, want 200 with the agreed primary", w.Code, w.Body)
	}
	if len(sender.got) != 1 || sender.got[0].LSN != 1<<32|0xa0 || sender.got[0].Timeline != 3 || sender.got[0].Primary {
		t.Fatalf("forwarded %+v, want one announcement of a replica at 1/A0 on timeline 3", sender.got)
	}
}

func TestHandlerRejectsMalformedAnnouncements(t *testing.T) {
	malformed := []string{
		``, `{`, validBody + validBody, strings.Repeat(" ", maxBodyBytes) + validBody,
		strings.Replace(validBody, `"log"`, `""`, 1),
		strings.Replace(validBody, `"b"`, `"`+strings.Repeat("b", 64)+`"`, 1),
		strings.Replace(validBody, `127.0.0.1:5432`, `localhost:5432`, 1),
		strings.Replace(validBody, `replica`, `king`, 1),
		strings.Replace(validBody, `1/A0`, `1A0`, 1),
		strings.Replace(validBody, `1/A0`, `1/FFFFFFFFF`, 1),
	}
	for _, body := range malformed {
		var sender recorder
		w := post(NewHandler(view.NewPublisher(), &sender), body)
		if w.Code != http.StatusBadRequest || len(sender.got) != 0 || !strings.Contains(w.Body.String(), `"code":3001`) {
			t.Errorf("%.60q: response %d %s, want 400 with code 3001 and nothing forwarded", body, w.Code, w.Body)
		}
	}
}

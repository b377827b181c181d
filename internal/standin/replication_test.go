package standin_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/galenabridge/galenabridge/internal/standin"
)

// Replicas must reach the primary's position, hold the values that the primary
// generated rather than values of their own, reject writes and report their positions.
func TestReplicasReplayAndRejectWrites(t *testing.T) {
	group := startGroup(t, nil)
	primary := connect(t, group.Servers[0])
	mustExec(t, primary, "create table extra(id bigserial primary key, at timestamptz)")
	mustExec(t, primary, "insert into extra(at) values (now())")
	mustExec(t, primary, "insert into records(id) values ('a')")
	var want string
	if err := primary.QueryRow(testContext(t), "select at::text from extra").Scan(&want); err != nil {
		t.Fatal(err)
	}
	var current string
	if err := primary.QueryRow(testContext(t), "select pg_current_wal_lsn()").Scan(&current); err != nil {
		t.Fatal(err)
	}
	for _, s := range group.Servers[1:] {
		replica := connect(t, s)
		waitFor(t, "replay", func() bool {
			var replayed string
			err := replica.QueryRow(testContext(t), "select pg_last_wal_replay_lsn()").Scan(&replayed)
			return err == nil && replayed == current
		})
		var got string
		if err := replica.QueryRow(testContext(t), "select at::text from extra").Scan(&got); err != nil || got != want {
			t.Errorf("replayed %q, want %q: %v", got, want, err)
		}
		if _, err := replica.Exec(testContext(t), "insert into records(id) values ('b')"); sqlState(err) != "25006" {
			t.Error(err)
		}
		var recovering bool
		err := replica.QueryRow(testContext(t), "select pg_is_in_recovery()").Scan(&recovering)
		if err != nil || !recovering {
			t.Error(recovering, err)
		}
	}
	waitFor(t, "flush reported to the primary", func() bool {
		var n int64
		err := primary.QueryRow(testContext(t),
			"select count(*) from pg_stat_replication where flush_lsn = $1 and replay_lsn = $1", current).Scan(&n)
		return err == nil && n == 2
	})
}

// A replica flushes a transaction at once and replays it only after the replay lag.
func TestReplicaFlushesBeforeReplay(t *testing.T) {
	group := startGroup(t, func(o *standin.Options) { o.ReplayLag = time.Hour })
	mustExec(t, connect(t, group.Servers[0]), "insert into records(id) values ('a')")
	_, _, flushed, _ := group.Servers[0].Position()
	replica := group.Servers[1]
	waitFor(t, "flush", func() bool {
		_, _, got, _ := replica.Position()
		return got == flushed
	})
	if _, _, _, replayed := replica.Position(); replayed >= flushed {
		t.Errorf("replayed %s within the lag", replayed)
	}
	replica.SetReplayLag(0)
	mustExec(t, connect(t, group.Servers[0]), "insert into records(id) values ('b')")
	conn := connect(t, replica)
	waitFor(t, "replay", func() bool { return countRecords(t, conn) == 2 })
}

// After a partition, the old primary has transactions that no replica has flushed. The
// promotion must keep the flushed ones, and the old primary must drop the others when
// it becomes a replica of the new timeline.
func TestPromotionKeepsFlushedDropsUnflushed(t *testing.T) {
	var namedPrimary atomic.Pointer[standin.Server]
	admin := startAdmin(t, &namedPrimary)
	group := startGroup(t, func(o *standin.Options) {
		o.ReplayLag, o.Admins, o.AnnounceInterval = time.Hour, []string{admin}, 10*time.Millisecond
	})
	oldPrimary, newPrimary := group.Servers[0], group.Servers[1]
	conn := connect(t, oldPrimary)
	mustExec(t, conn, "insert into records(id) values ('kept')")
	_, _, flushed, _ := oldPrimary.Position()
	waitFor(t, "flush", func() bool {
		_, _, got, _ := newPrimary.Position()
		return got == flushed
	})
	oldPrimary.Faults().Partition(standin.LinkReplication, true)
	mustExec(t, conn, "insert into records(id) values ('lost')")

	promoted := connect(t, newPrimary)
	mustExec(t, promoted, "select pg_promote()")
	if n := countRecords(t, promoted); n != 1 {
		t.Errorf("%d records after promotion, want 1", n)
	}
	if role, timelineID, _, _ := newPrimary.Position(); role != standin.RolePrimary || timelineID != 2 {
		t.Errorf("role %s, timeline %d after promotion, want primary, 2", role, timelineID)
	}
	mustExec(t, conn, "insert into records(id) values ('lost too')") // the old primary has not been demoted yet
	mustExec(t, promoted, "insert into records(id) values ('new')")

	oldPrimary.Faults().Clear()
	namedPrimary.Store(newPrimary)
	waitFor(t, "demotion", func() bool {
		role, timelineID, _, _ := oldPrimary.Position()
		return role == standin.RoleReplica && timelineID == 2
	})
	oldPrimary.SetReplayLag(0)
	var restored int64
	waitFor(t, "rebuild of the old primary", func() bool {
		fresh := connect(t, oldPrimary)
		defer fresh.Close(testContext(t))
		err := fresh.QueryRow(testContext(t), "select count(*) from records where id in ('kept', 'new')").Scan(&restored)
		return err == nil && restored == 2 && countRecords(t, fresh) == 2
	})
}

// startAdmin starts an admin endpoint that responds to announcements with the named
// primary, if there is one, and returns its address.
func startAdmin(t *testing.T, namedPrimary *atomic.Pointer[standin.Server]) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a standin.Announcement
		if err := json.NewDecoder(r.Body).Decode(&a); err != nil || a.Service != "ledger" || a.Addr == "" {
			t.Errorf("announcement %+v: %v", a, err)
		}
		response := map[string]any{"term": 1}
		if s := namedPrimary.Load(); s != nil {
			response["primary"], response["primary_addr"] = s.ID(), s.Addr()
		}
		if err := json.NewEncoder(w).Encode(response); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

package standin_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/galenabridge/galenabridge/internal/standin"
)

// waitTimeout limits every wait for a condition and every test context.
const waitTimeout = 60 * time.Second

const password = "ledger secret"

// startGroup runs a primary with two replicas until the test ends. adjust, if not nil,
// changes the options, which have no connect delay and no replication delay.
func startGroup(t *testing.T, adjust func(*standin.Options)) *standin.Group {
	t.Helper()
	opts := standin.Options{
		Service: "ledger", Password: password, RecordsTable: true, ConnectDelay: -1, ReplicationDelay: -1,
	}
	if adjust != nil {
		adjust(&opts)
	}
	group, err := standin.NewGroup(opts, 3, nil)
	if err != nil {
		t.Fatal(err)
	}
	runServer(t, group.Run)
	return group
}

// runServer runs task in a goroutine, and at the end of the test stops it and checks
// its error.
func runServer(t *testing.T, task func(context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- task(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("run: %v", err)
		}
	})
}

func url(s *standin.Server) string {
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable",
		standin.DefaultUser, "ledger%20secret", s.Addr(), standin.DefaultDatabase)
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	t.Cleanup(cancel)
	return ctx
}

func connect(t *testing.T, s *standin.Server) *pgx.Conn {
	t.Helper()
	ctx := testContext(t)
	conn, err := pgx.Connect(ctx, url(s))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

func mustExec(t *testing.T, conn *pgx.Conn, text string, args ...any) {
	t.Helper()
	if _, err := conn.Exec(testContext(t), text, args...); err != nil {
		t.Fatalf("%s: %v", text, err)
	}
}

// waitFor polls until condition holds and fails the test after waitTimeout.
func waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %s", description, waitTimeout)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// countRecords returns the number of rows in the table "records".
func countRecords(t *testing.T, conn *pgx.Conn) int64 {
	t.Helper()
	var n int64
	if err := conn.QueryRow(testContext(t), "select count(*) from records").Scan(&n); err != nil {
		t.Fatal(err)
	}
	return n
}

package dev

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jackc/pgx/v5"
)

const (
	testTimeout     = 2 * time.Minute
	testLag         = 500 * time.Millisecond
	crossHostWrites = 50
)

// startSystem runs a system until the test ends and returns the database URLs of its
// two entry hosts.
func startSystem(t *testing.T) (url, url2 string) {
	t.Helper()
	reader, writer := io.Pipe()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- Run(ctx, Options{ReplayLag: testLag, Ready: writer, Logger: log.New(io.Discard)})
		writer.Close()
	}()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("shutdown: %v", err)
		}
	})
	line, err := bufio.NewReader(reader).ReadString('\n')
	if err != nil {
		t.Fatalf("no ready line: %v", err)
	}
	for _, field := range strings.Fields(line) {
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case "url":
			url = value
		case "url2":
			url2 = value
		}
	}
	return url, url2
}

func connect(ctx context.Context, t *testing.T, url string) *pgx.Conn {
	t.Helper()
	conn, err := pgx.Connect(ctx, url)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

// TestReadSeesWriteOfOtherHost writes through one entry host and reads through the other,
// on a connection opened before the write and on a new one. It guards against a stale
// read from a replica, which replays the write only after testLag.
func TestReadSeesWriteOfOtherHost(t *testing.T) {
	url, url2 := startSystem(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	writer := connect(ctx, t, url)
	reader := connect(ctx, t, url2)
	for i := range crossHostWrites {
		id := fmt.Sprintf("r%d", i)
		if _, err := writer.Exec(ctx, "insert into records (id, workspace, body) values ($1, 'crew', $2)", id, "body "+id); err != nil {
			t.Fatal(err)
		}
		checkBody(ctx, t, reader, id)
		if i%10 == 0 {
			fresh := connect(ctx, t, url2)
			checkBody(ctx, t, fresh, id)
		}
	}
}

// checkBody fails the test unless the record has the body that was written.
func checkBody(ctx context.Context, t *testing.T, conn *pgx.Conn, id string) {
	t.Helper()
	var body string
	if err := conn.QueryRow(ctx, "select body from records where id = $1", id).Scan(&body); err != nil {
		t.Fatalf("record %s: %v", id, err)
	}
	if body != "body "+id {
		t.Errorf("record %s has body %q, not the one written", id, body)
	}
}

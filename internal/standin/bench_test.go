package standin_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/jackc/pgx/v5"

	"github.com/galenabridge/galenabridge/internal/standin"
)

// BenchmarkStatements measures single statements over one connection.
func BenchmarkStatements(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server, err := standin.New(standin.Options{RecordsTable: true, ConnectDelay: -1})
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Run(ctx) }() // ends with the benchmark
	conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://galenabridge@%s/ledger?sslmode=disable", server.Addr()))
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close(ctx)
	b.Run("insert", func(b *testing.B) {
		for b.Loop() {
			if _, err := conn.Exec(ctx, "insert into records(id) values (gen_random_uuid()::text)"); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("select", func(b *testing.B) {
		for b.Loop() {
			if _, err := conn.Exec(ctx, "select body from records where id = $1", "a"); err != nil {
				b.Fatal(err)
			}
		}
	})
}

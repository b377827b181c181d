package standin_test

import (
	"fmt"
	"testing"

	"golang.org/x/sync/errgroup"
)

const (
	writers          = 8
	writesPerSession = 50
)

// Many sessions move an amount between two rows, while readers on all endpoints check
// that the sum never changes. A read that saw part of a transaction, or a lost update,
// would change a sum.
func TestConcurrentTransactionsIsolated(t *testing.T) {
	group := startGroup(t, nil)
	setup := connect(t, group.Servers[0])
	mustExec(t, setup, "create table accounts(id int4 primary key, amount int8)")
	mustExec(t, setup, "insert into accounts values (1, 1000), (2, 1000)")
	var work errgroup.Group
	for w := range writers {
		conn := connect(t, group.Servers[0])
		reader := connect(t, group.Servers[w%len(group.Servers)])
		ctx := testContext(t)
		work.Go(func() error {
			for range writesPerSession {
				tx, err := conn.Begin(ctx)
				if err != nil {
					return err
				}
				for id, sign := range map[int]int{1: -1, 2: 1} {
					if _, err := tx.Exec(ctx, "update accounts set amount = amount + $1 where id = $2", sign, id); err != nil {
						return err
					}
				}
				if err := tx.Commit(ctx); err != nil {
					return err
				}
				var sum int64
				err = reader.QueryRow(ctx, "select coalesce(sum(amount), 2000)::int8 from accounts").Scan(&sum)
				if err != nil && sqlState(err) != "42P01" { // the replica has not replayed the table yet
					return err
				}
				if err == nil && sum != 2000 {
					return fmt.Errorf("sum of both accounts is %d, want 2000", sum)
				}
			}
			return nil
		})
	}
	if err := work.Wait(); err != nil {
		t.Fatal(err)
	}
	var amount int64
	err := setup.QueryRow(testContext(t), "select amount from accounts where id = 2").Scan(&amount)
	if err != nil || amount != 1000+writers*writesPerSession {
		t.Errorf("amount %d: %v", amount, err)
	}
}

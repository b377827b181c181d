//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// cases are the cases by name. Each returns an exit code.
var cases = map[string]func(f *record, trouble bool) int{"quota": quota, "route": routeMoves, "tenant": tenantReturns, "boot": firstStart, "firstack": firstAck, "forming": firstPrimary}

// limit is the longest time of a case.
const limit = 110 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: third CASE FOLDER, in the root of the repository")
		os.Exit(couldNot)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	rec := &record{out: bufio.NewWriter(file), begun: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, trouble %v", os.Args[1], trouble)
	done := make(chan int, 1)
	go func() { done <- cases[os.Args[1]](rec, trouble) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	code := couldNot
	select {
	case code = <-done:
	case <-time.After(limit):
		rec.printf("the case took too long")
	case <-signals:
	}
	if running != nil && code == couldNot {
		running.killAll()
	}
	rec.printf("exit %d", code)
	_ = rec.out.Flush()
	_ = file.Close()
	os.Exit(code)
}

// running is the fleet of the case, for the end of one that did not end by itself.
var running *fleet

// killAll kills all processes without waiting.
func (f *fleet) killAll() {
	for _, m := range append(f.controls, f.entries...) {
		if m.cmd != nil && m.cmd.Process != nil {
			_ = m.cmd.Process.Kill()
		}
	}
}

// Command bridgecap measures the resource use of the parts of galenabridge per unit of load
// and computes the capacity page from it.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/capacity"
)

// measureCommand is "bridgecap measure".
type measureCommand struct {
	LeaderAdmin string        `long:"leader-admin" required:"yes" value-name:"IP:PORT" description:"admin address of the voter"`
	RelayHost   string        `long:"relay-host" required:"yes" value-name:"NAME" description:"control host that subscribers follow"`
	RelayPeer   string        `long:"relay-peer" required:"yes" value-name:"IP:PORT" description:"its peer address"`
	RelayAdmin  string        `long:"relay-admin" required:"yes" value-name:"IP:PORT" description:"its admin address"`
	EntryAdmin  string        `long:"entry-admin" required:"yes" value-name:"IP:PORT" description:"admin address of an entry host"`
	CallerURL   string        `long:"caller-url" required:"yes" value-name:"URL" description:"connection string of a caller"`
	Standin     string        `long:"standin" required:"yes" value-name:"IP:PORT" description:"address of a stand-in endpoint"`
	Fleet       string        `long:"fleet" required:"yes"`
	Secret      string        `long:"fleet-secret" required:"yes"`
	Window      time.Duration `long:"window" default:"10s" description:"length of one measurement"`
	Out         string        `long:"out" required:"yes" value-name:"FILE" description:"file for the measurements"`
}

// Execute implements flags.Commander.
func (c *measureCommand) Execute([]string) error {
	plan := capacity.DefaultPlan()
	plan.Window = c.Window
	slopes, err := capacity.Measure(capacity.System{
		Fleet: c.Fleet, Secret: c.Secret, Domain: "osan",
		LeaderAdmin: c.LeaderAdmin,
		RelayHost:   c.RelayHost, RelayPeer: c.RelayPeer, RelayAdmin: c.RelayAdmin,
		EntryAdmin: c.EntryAdmin, CallerURL: c.CallerURL,
		StandinAddr: c.Standin, StandinDatabase: "ledger", StandinUser: "galenabridge",
	}, plan, os.Stdout)
	if err != nil {
		return err
	}
	return writeJSON(c.Out, capacity.Measurements{
		Machine: fmt.Sprintf("%s/%s, %d cores, %s", runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), runtime.Version()),
		Date:    time.Now().UTC().Format(time.DateOnly),
		Command: "make slopes",
		Slopes:  slopes,
	})
}

// renderCommand is "bridgecap render".
type renderCommand struct {
	Target string `long:"target" required:"yes" value-name:"FILE" description:"size of the fleet and bounds"`
	Slopes string `long:"slopes" required:"yes" value-name:"FILE" description:"measurements"`
	Sweep  string `long:"sweep" required:"yes" value-name:"FILE" description:"figures of whole fleets of several sizes"`
	Out    string `long:"out" required:"yes" value-name:"FILE" description:"page to write"`
	Plots  string `long:"plots" value-name:"DIR" description:"folder for plots of the measurements"`
}

// Execute implements flags.Commander.
func (c *renderCommand) Execute([]string) error {
	var goal capacity.Goal
	if err := readJSON(c.Target, &goal); err != nil {
		return err
	}
	var measured capacity.Measurements
	if err := readJSON(c.Slopes, &measured); err != nil {
		return err
	}
	var sweep capacity.Sweep
	if err := readJSON(c.Sweep, &sweep); err != nil {
		return err
	}
	page, err := capacity.Page(goal, measured, sweep)
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.Out, page, 0o644); err != nil {
		return err
	}
	if c.Plots == "" {
		return nil
	}
	return capacity.Plot(c.Plots, measured)
}

func readJSON(path string, out any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(data, out), path)
}

func writeJSON(path string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}

func main() {
	parser := flags.NewParser(nil, flags.Default)
	commands := []struct {
		name, short string
		data        any
	}{
		{"measure", "measure slopes on running processes", &measureCommand{}},
		{"render", "compute the capacity page", &renderCommand{}},
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, c.short, c.data); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			os.Exit(0)
		}
		os.Exit(1)
	}
}

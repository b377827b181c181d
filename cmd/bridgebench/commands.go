package main

import (
	"context"
	"fmt"
	"net/url"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/bench"
)

// runCommand is "bridgebench run".
type runCommand struct {
	Profile  string        `long:"profile" required:"true" description:"profile file, such as profiles/hanbit.json"`
	Duration time.Duration `long:"duration" default:"30s" description:"length of the load"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the load"`
	Out      string        `long:"out" default:"bench-out" description:"folder for result.json and plots"`
	Policy   string        `long:"policy" default:"fair" description:"policy of the system under load, kept in the result"`
	Faults   []string      `long:"fault" value-name:"AT=ACTION:TARGET" description:"fault to cause, such as 10s=isolate_primary:ledger-1 (repeatable)"`
	Version  string        `long:"label" description:"version under load, kept in the result"`
	Program  string        `long:"program" description:"built galenabridge; the run starts a fleet of its processes"`
	Direct   bool          `long:"direct" description:"drive stand-in endpoints without the proxy"`
	Lag      time.Duration `long:"replay-lag" description:"replay lag of the replicas that the run starts"`
	Addrs    []string      `long:"addr" description:"entry host of a running system (repeatable)"`
	Keys     []string      `long:"key" description:"WORKSPACE=KEY of a running system (repeatable)"`
}

// Execute implements flags.Commander.
func (c *runCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	profile, err := bench.LoadProfile(c.Profile)
	if err != nil {
		return err
	}
	for _, text := range c.Faults {
		f, err := bench.ParseFault(text)
		if err != nil {
			return err
		}
		profile.Faults = append(profile.Faults, f)
	}
	target, stopTarget, err := c.target(ctx, profile)
	if err != nil {
		return err
	}
	defer stopTarget()
	res, err := bench.Run(ctx, bench.Options{
		Profile: profile, Target: target, Duration: c.Duration, Seed: c.Seed, Progress: os.Stderr,
	})
	if res == nil {
		return err
	}
	res.Policy, res.Version = c.Policy, c.Version
	return c.save(res, err)
}

// save writes the result and its plots. It returns runErr, or errCheckFailed if the run found
// violations.
func (c *runCommand) save(res *bench.Result, runErr error) error {
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return errors.Wrap(err, "output folder")
	}
	if err := res.Save(filepath.Join(c.Out, "result.json")); err != nil {
		return err
	}
	if err := res.SavePlots(c.Out); err != nil {
		return err
	}
	bench.Summarize(os.Stdout, res)
	if runErr != nil {
		return runErr
	}
	if res.Violations.Total() > 0 {
		return errCheckFailed
	}
	return nil
}

// target returns the system under load and a function that stops it.
func (c *runCommand) target(ctx context.Context, p *bench.Profile) (bench.Target, func(), error) {
	switch {
	case c.Program != "":
		system, err := bench.StartSystem(ctx, bench.SystemOptions{
			Profile: p, Program: c.Program, Policy: c.Policy, ReplayLag: c.Lag,
		})
		if err != nil {
			return bench.Target{}, nil, err
		}
		return system.Target(), system.Stop, nil
	case !c.Direct:
		target, err := c.existingTarget()
		return target, func() {}, err
	}
	return c.directTarget(ctx, p)
}

// directTarget starts stand-in endpoints without the proxy.
func (c *runCommand) directTarget(ctx context.Context, p *bench.Profile) (bench.Target, func(), error) {
	direct, err := bench.NewDirect(p, c.Lag)
	if err != nil {
		return bench.Target{}, nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := direct.Run(ctx); err != nil && ctx.Err() == nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}()
	return direct.Target(), func() { cancel(); <-done }, nil
}

// existingTarget returns a system that was started independently of this command.
func (c *runCommand) existingTarget() (bench.Target, error) {
	if len(c.Addrs) == 0 {
		return bench.Target{}, errors.New("give the system under load with --addr and --key, or use --program or --direct")
	}
	keys := make(map[string]string)
	for _, pair := range c.Keys {
		workspace, key, ok := strings.Cut(pair, "=")
		if !ok {
			return bench.Target{}, errors.Errorf("--key %q: want WORKSPACE=KEY", pair)
		}
		keys[workspace] = key
	}
	return bench.Target{
		Addrs: c.Addrs,
		URL: func(addr, workspace, service string) string {
			return callerURL(addr, workspace, keys[workspace], service)
		},
		CheckURL: func(workspace, service string) string {
			return callerURL(c.Addrs[0], workspace, keys[workspace], service)
		},
		FaultInjector: bench.NoFaults{},
	}, nil
}

// callerURL returns the connection string of a workspace for a service.
func callerURL(addr, workspace, key, service string) string {
	u := url.URL{
		Scheme: "postgres", User: url.UserPassword(workspace, key), Host: addr, Path: "/" + service,
		RawQuery: "sslmode=disable",
	}
	return u.String()
}

// reportCommand is "bridgebench report".
type reportCommand struct {
	Out  string `long:"out" default:"bench-out" description:"folder for the plots"`
	Args struct {
		Result string `positional-arg-name:"RESULT"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *reportCommand) Execute([]string) error {
	res, err := bench.LoadResult(c.Args.Result)
	if err != nil {
		return err
	}
	bench.Summarize(os.Stdout, res)
	return res.SavePlots(c.Out)
}

// compareCommand is "bridgebench compare".
type compareCommand struct {
	Bounds string `long:"bounds" description:"JSON file with the bounds"`
	Args   struct {
		Older string `positional-arg-name:"OLDER"`
		Newer string `positional-arg-name:"NEWER"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *compareCommand) Execute([]string) error {
	bounds := bench.DefaultBounds
	if c.Bounds != "" {
		loaded, err := bench.LoadBounds(c.Bounds)
		if err != nil {
			return err
		}
		bounds = loaded
	}
	older, err := bench.LoadResult(c.Args.Older)
	if err != nil {
		return err
	}
	newer, err := bench.LoadResult(c.Args.Newer)
	if err != nil {
		return err
	}
	if bench.Compare(os.Stdout, older, newer, bounds) > 0 {
		return errCheckFailed
	}
	return nil
}

package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/standin"
)

// Direct is a target without a proxy: the callers connect to the primaries of
// groups of stand-in endpoints. It is the baseline of the proxy's cost.
type Direct struct {
	groups map[string]*standin.Group
}

// NewDirect opens the groups of a profile.
func NewDirect(p *Profile, replayLag time.Duration) (*Direct, error) {
	d := &Direct{groups: make(map[string]*standin.Group)}
	callers := 0
	for _, w := range p.Workspaces {
		callers += w.Callers
	}
	for _, s := range p.Services {
		domains := make([]string, len(p.Domains))
		for i, area := range p.Domains {
			domains[i] = area.Name
		}
		group, err := standin.NewGroup(standin.Options{
			Service: s.Name, RecordsTable: true, MaxConnections: max(s.Connections, 2*callers), ReplayLag: replayLag,
		}, s.Endpoints, domains)
		if err != nil {
			return nil, err
		}
		d.groups[s.Name] = group
	}
	return d, nil
}

// Run serves the groups until ctx ends.
func (d *Direct) Run(ctx context.Context) error {
	var group run.Group
	for _, g := range d.groups {
		taskCtx, cancel := context.WithCancel(ctx)
		group.Add(func() error { return g.Run(taskCtx) }, func(error) { cancel() })
	}
	return group.Run()
}

// Target returns the target of a run.
func (d *Direct) Target() Target {
	url := func(service string) string {
		addr := d.groups[service].Servers[0].Addr()
		return fmt.Sprintf("postgres://%s@%s/%s?sslmode=disable", standin.DefaultUser, addr, standin.DefaultDatabase)
	}
	return Target{
		Addrs:         []string{"direct"},
		URL:           func(_, _, service string) string { return url(service) },
		CheckURL:      func(_, service string) string { return url(service) },
		FaultInjector: d,
	}
}

// Inject implements FaultInjector: without a proxy there is nobody to recover from a
// fault.
func (d *Direct) Inject(context.Context, Action, string) error {
	return errors.New("faults need the proxy")
}

package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/standin"
)

// Direct is a target without the proxy: callers connect to the primaries of groups
// of stand-in endpoints. It serves as the baseline for the overhead of the proxy.
type Direct struct {
	groups map[string]*standin.Group
}

// NewDirect opens a group of stand-in endpoints for each service of a profile.
func NewDirect(p *Profile, replayLag time.Duration) (*Direct, error) {
	d := &Direct{groups: make(map[string]*standin.Group)}
	callers := 0
	for _, w := range p.Workspaces {
		callers += w.Callers
	}
	for _, s := range p.Services {
		domains := make([]string, len(p.Domains))
		for i, domain := range p.Domains {
			domains[i] = domain.Name
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

// Run serves the groups until ctx ends or one of them fails.
func (d *Direct) Run(ctx context.Context) error {
	var tasks run.Group
	for _, g := range d.groups {
		taskCtx, cancel := context.WithCancel(ctx)
		tasks.Add(func() error { return g.Run(taskCtx) }, func(error) { cancel() })
	}
	return tasks.Run()
}

// Target returns the target of a run. The first endpoint of each group is the
// primary; entry address and workspace are ignored.
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

// Inject implements FaultInjector. It always fails, since nothing recovers from a
// fault without the proxy.
func (d *Direct) Inject(context.Context, Action, string) error {
	return errors.New("faults require the proxy")
}

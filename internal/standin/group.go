package standin

import (
	"context"
	"strconv"

	"github.com/oklog/run"
	"github.com/pkg/errors"
)

// Group is a primary and its replicas in one process.
type Group struct {
	// Servers holds the endpoints. The first one starts as the primary.
	Servers []*Server
}

// NewGroup opens a group of size endpoints with the IDs "SERVICE-1", "SERVICE-2"
// and so on. Failure domains, if given, are assigned round robin. Options.ID,
// Listen, Advertise, Control, Role, Upstream and DataDir must be empty.
func NewGroup(opts Options, size int, domains []string) (*Group, error) {
	g := &Group{}
	for i := range size {
		o := opts
		o.ID = opts.Service + "-" + strconv.Itoa(i+1)
		o.Role = RolePrimary
		if i > 0 {
			o.Role, o.Upstream, o.RecordsTable = RoleReplica, g.Servers[0].Addr(), false
		}
		if len(domains) > 0 {
			o.Domain = domains[i%len(domains)]
		}
		server, err := New(o)
		if err != nil {
			g.close()
			return nil, errors.Wrapf(err, "endpoint %s", o.ID)
		}
		g.Servers = append(g.Servers, server)
	}
	return g, nil
}

func (g *Group) close() {
	for _, s := range g.Servers {
		s.close()
	}
}

// Run serves until ctx ends or an endpoint fails. Killing one endpoint does not
// stop the others.
func (g *Group) Run(ctx context.Context) error {
	var group run.Group
	for _, s := range g.Servers {
		taskCtx, cancel := context.WithCancel(ctx)
		group.Add(func() error {
			if err := s.Run(taskCtx); err != nil {
				return err
			}
			<-taskCtx.Done()
			return nil
		}, func(error) { cancel() })
	}
	return group.Run()
}

// Follow sets the i-th endpoint as the upstream of all others. It replaces the
// responses to announcements in a group without admin addresses.
func (g *Group) Follow(i int) {
	for j, s := range g.Servers {
		if j != i {
			s.SetUpstream(g.Servers[i].Addr())
		}
	}
}

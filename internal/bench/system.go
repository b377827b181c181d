package bench

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/localfleet"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/standin"
)

// System is a local fleet of separate processes that serves as the target of a run.
// Stop must be called after the run.
type System struct {
	fleet   *localfleet.Fleet
	profile *Profile
	dir     string
}

// SystemOptions configure a System.
type SystemOptions struct {
	Profile *Profile
	// Program is the path of the built program.
	Program string
	// Policy is the value of the hosts' --policy flag; empty means the default policy.
	Policy string
	// ReplayLag is the replay lag of the replicas.
	ReplayLag time.Duration
}

const (
	// systemControlHosts is the number of control hosts, unless the profile has
	// fewer hosts.
	systemControlHosts = 3
	startTimeout       = 2 * time.Minute
	// faultTimeout bounds the injection of one fault and the search for a primary.
	faultTimeout = 30 * time.Second
)

// StartSystem starts the fleet of a profile and waits until every host serves every
// service.
func StartSystem(ctx context.Context, opts SystemOptions) (*System, error) {
	dir, err := os.MkdirTemp("", "bridgebench-")
	if err != nil {
		return nil, errors.Wrap(err, "create fleet folder")
	}
	s := &System{profile: opts.Profile, dir: dir}
	if err := s.start(ctx, opts); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

func (s *System) start(ctx context.Context, opts SystemOptions) error {
	p := opts.Profile
	var err error
	s.fleet, err = localfleet.New(localfleet.Options{
		Program: opts.Program, Dir: s.dir, Hosts: p.Hosts, ControlHosts: min(systemControlHosts, p.Hosts),
		Domains: p.noteDomains(), Services: p.noteServices(), Workspaces: p.noteWorkspaces(),
		ReplayLag: opts.ReplayLag, Policy: opts.Policy, LogLevel: "warn",
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return s.fleet.Start(ctx, nil)
}

// Stop kills the processes of the fleet and removes its folder.
func (s *System) Stop() {
	if s.fleet != nil {
		s.fleet.Stop()
	}
	os.RemoveAll(s.dir)
}

// Target returns the target of a run. Stored rows are read directly from the
// primary of a service; CheckURL returns "" if the service has none.
func (s *System) Target() Target {
	t := Target{
		FaultInjector: s,
		URL: func(addr, workspace, service string) string {
			return s.fleet.URL(s.hostAt(addr), workspace, service)
		},
		CheckURL: func(_, service string) string {
			ctx, cancel := context.WithTimeout(context.Background(), faultTimeout)
			defer cancel()
			if e := s.fleet.Primary(ctx, service); e != nil {
				return e.DirectURL()
			}
			return ""
		},
	}
	for _, h := range s.fleet.Hosts {
		t.Addrs = append(t.Addrs, h.Settings.Entry.Listen)
	}
	return t
}

// hostAt returns the host with this caller address, or the first host.
func (s *System) hostAt(addr string) *localfleet.Host {
	for _, h := range s.fleet.Hosts {
		if h.Settings.Entry.Listen == addr {
			return h
		}
	}
	return s.fleet.Hosts[0]
}

// Inject implements FaultInjector. It performs all actions except surges, which the
// run itself performs.
func (s *System) Inject(ctx context.Context, action Action, target string) error {
	ctx, cancel := context.WithTimeout(ctx, faultTimeout)
	defer cancel()
	switch action {
	case IsolatePrimary:
		return s.isolatePrimary(ctx, target)
	case HealEndpoints:
		return s.healEndpoints(ctx, target)
	case KillHost:
		return s.killHost(target)
	case DomainOut, DomainIn:
		return s.setDomainOut(ctx, target, action == DomainOut)
	}
	return errors.Errorf("unknown action %s", action)
}

func (s *System) isolatePrimary(ctx context.Context, service string) error {
	e := s.fleet.Primary(ctx, service)
	if e == nil {
		return errors.Errorf("service %s has no primary", service)
	}
	links := []standin.Link{standin.LinkCallers, standin.LinkReplication, standin.LinkAnnouncements}
	return e.SetFaults(ctx, standin.FaultRequest{PartitionedLinks: &links})
}

func (s *System) healEndpoints(ctx context.Context, service string) error {
	for _, e := range s.fleet.Endpoints {
		if e.Service != service {
			continue
		}
		if err := e.SetFaults(ctx, standin.FaultRequest{Clear: true}); err != nil {
			return err
		}
	}
	return nil
}

func (s *System) killHost(name string) error {
	for _, h := range s.fleet.Hosts {
		if h.Name == name {
			h.Proc.Kill()
			return nil
		}
	}
	return errors.Errorf("unknown host %s", name)
}

// setDomainOut takes a failure domain out of use or back into use with a note.
func (s *System) setDomainOut(ctx context.Context, name string, out bool) error {
	for _, d := range s.profile.noteDomains() {
		if d.Name != name {
			continue
		}
		d.Out = out
		return s.fleet.Apply(ctx, s.fleet.Hosts[0], func(n *note.Note) { n.Changed.Domains = []note.Domain{d} })
	}
	return errors.Errorf("unknown domain %s", name)
}

func (p *Profile) noteDomains() []note.Domain {
	var out []note.Domain
	for _, d := range p.Domains {
		out = append(out, note.Domain{Name: d.Name, Region: d.Region})
	}
	return out
}

func (p *Profile) noteServices() []note.Service {
	var out []note.Service
	for _, s := range p.Services {
		out = append(out, note.Service{
			Name: s.Name, Endpoints: s.Endpoints, Slots: s.Slots, Connections: s.Connections,
		})
	}
	return out
}

func (p *Profile) noteWorkspaces() []note.Workspace {
	var out []note.Workspace
	for _, w := range p.Workspaces {
		out = append(out, note.Workspace{
			Name: w.Name, Rate: w.Rate, Burst: w.Burst, Class: w.Class, Services: w.Services,
		})
	}
	return out
}

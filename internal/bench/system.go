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

// System is a fleet of real processes on loopback that is started for a run.
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
	// Policy is passed to the hosts; empty means the default.
	Policy string
	// ReplayLag is the replay lag of the replicas.
	ReplayLag time.Duration
}

const (
	// systemControls is the number of control hosts.
	systemControls = 3
	startTimeout   = 2 * time.Minute
	causeTimeout   = 30 * time.Second
)

// StartSystem starts the fleet of a profile and waits until it serves.
func StartSystem(ctx context.Context, opts SystemOptions) (*System, error) {
	dir, err := os.MkdirTemp("", "bridgebench-")
	if err != nil {
		return nil, errors.Wrap(err, "folder of the fleet")
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
		Program: opts.Program, Dir: s.dir, Hosts: p.Hosts, ControlHosts: min(systemControls, p.Hosts),
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

// Stop ends the fleet and removes its folder.
func (s *System) Stop() {
	if s.fleet != nil {
		s.fleet.Stop()
	}
	os.RemoveAll(s.dir)
}

// Target returns the target of a run.
func (s *System) Target() Target {
	t := Target{
		FaultInjector: s,
		URL: func(addr, workspace, service string) string {
			return s.fleet.URL(s.hostAt(addr), workspace, service)
		},
		CheckURL: func(_, service string) string {
			ctx, cancel := context.WithTimeout(context.Background(), causeTimeout)
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

func (s *System) hostAt(addr string) *localfleet.Host {
	for _, h := range s.fleet.Hosts {
		if h.Settings.Entry.Listen == addr {
			return h
		}
	}
	return s.fleet.Hosts[0]
}

// Inject implements FaultInjector.
func (s *System) Inject(ctx context.Context, action Action, target string) error {
	ctx, cancel := context.WithTimeout(ctx, causeTimeout)
	defer cancel()
	switch action {
	case IsolatePrimary:
		return s.isolatePrimary(ctx, target)
	case HealEndpoints:
		return s.healEndpoints(ctx, target)
	case KillHost:
		return s.killHost(target)
	case DomainOut, DomainIn:
		return s.setDomain(ctx, target, action == DomainOut)
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
	return errors.Errorf("no host %s", name)
}

func (s *System) setDomain(ctx context.Context, name string, out bool) error {
	for _, d := range s.profile.noteDomains() {
		if d.Name != name {
			continue
		}
		d.Out = out
		return s.fleet.Apply(ctx, s.fleet.Hosts[0], func(n *note.Note) { n.Changed.Domains = []note.Domain{d} })
	}
	return errors.Errorf("no domain %s", name)
}

func (p *Profile) noteDomains() []note.Domain {
	var out []note.Domain
	for _, a := range p.Domains {
		out = append(out, note.Domain{Name: a.Name, Region: a.Region})
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

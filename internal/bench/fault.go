package bench

import (
	"context"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/config"
)

// Action names a fault.
type Action string

// Actions. Each service or host is named by the fault's target.
const (
	// IsolatePrimary cuts the primary of a service off from callers, replicas
	// and announcements; HealEndpoints clears the faults of its endpoints.
	IsolatePrimary Action = "isolate_primary"
	HealEndpoints  Action = "heal_endpoints"
	// KillHost stops an entry host without warning.
	KillHost Action = "kill_host"
	// DomainOut takes a failure domain out of use, DomainIn back into use.
	DomainOut Action = "domain_out"
	DomainIn  Action = "domain_in"
	// SurgeOn multiplies the load of a workspace until SurgeOff.
	SurgeOn  Action = "surge_on"
	SurgeOff Action = "surge_off"
)

func (a Action) known() bool {
	switch a {
	case IsolatePrimary, HealEndpoints, KillHost, DomainOut, DomainIn, SurgeOn, SurgeOff:
		return true
	}
	return false
}

// ParseFault reads "AT=ACTION:TARGET", such as "10s=kill_host:host-2".
func ParseFault(text string) (Fault, error) {
	at, rest, ok := strings.Cut(text, "=")
	if !ok {
		return Fault{}, errors.Errorf("fault %q: want AT=ACTION:TARGET", text)
	}
	d, err := time.ParseDuration(at)
	if err != nil {
		return Fault{}, errors.Wrapf(err, "fault %q", text)
	}
	action, target, _ := strings.Cut(rest, ":")
	f := Fault{At: config.Duration(d), Action: Action(action), Target: target}
	if !f.Action.known() {
		return Fault{}, errors.Errorf("fault %q: unknown action", text)
	}
	return f, nil
}

// FaultInjector causes faults in the system under load.
type FaultInjector interface {
	// Inject performs the action. It returns an error when it cannot.
	Inject(ctx context.Context, action Action, target string) error
}

// surges holds the present load factor of each workspace.
type surges map[string]*atomic.Bool

func newSurges(workspaces []Workspace) surges {
	s := make(surges, len(workspaces))
	for _, w := range workspaces {
		s[w.Name] = new(atomic.Bool)
	}
	return s
}

// set handles the actions that concern the load itself. It reports whether the
// action is one of them.
func (s surges) set(action Action, target string) bool {
	if action != SurgeOn && action != SurgeOff {
		return false
	}
	if flag, ok := s[target]; ok {
		flag.Store(action == SurgeOn)
	}
	return true
}

// factor returns what the offered load of w is multiplied by.
func (s surges) factor(w Workspace) float64 {
	if s[w.Name].Load() && w.Surge > 0 {
		return w.Surge
	}
	return 1
}

// causeFaults performs the scheduled faults in order of their time.
func (r *runner) causeFaults(ctx context.Context) {
	faults := append([]Fault(nil), r.profile.Faults...)
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].At < faults[j].At })
	for _, f := range faults {
		if !sleepUntil(ctx, r.start.Add(time.Duration(f.At))) {
			return
		}
		event := FaultEvent{At: time.Since(r.start).Seconds(), Action: f.Action, Target: f.Target}
		if !r.surges.set(f.Action, f.Target) {
			if err := r.target.FaultInjector.Inject(ctx, f.Action, f.Target); err != nil {
				event.Error = err.Error()
			}
		}
		r.recorder.fault(event)
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

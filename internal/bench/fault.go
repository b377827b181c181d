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

// Action identifies a kind of fault or its end.
type Action string

// Actions. Fault.Target names the service, host, domain or workspace to which the
// action applies.
const (
	// IsolatePrimary cuts the connections of a service's primary to callers and
	// replicas and suppresses its announcements. HealEndpoints clears all faults
	// of the service's endpoints.
	IsolatePrimary Action = "isolate_primary"
	HealEndpoints  Action = "heal_endpoints"
	// KillHost kills the process of a host without a graceful shutdown.
	KillHost Action = "kill_host"
	// DomainOut takes a failure domain out of use; DomainIn puts it back.
	DomainOut Action = "domain_out"
	DomainIn  Action = "domain_in"
	// SurgeOn multiplies the offered load of a workspace by its Surge until
	// SurgeOff.
	SurgeOn  Action = "surge_on"
	SurgeOff Action = "surge_off"
)

func (a Action) isValid() bool {
	switch a {
	case IsolatePrimary, HealEndpoints, KillHost, DomainOut, DomainIn, SurgeOn, SurgeOff:
		return true
	}
	return false
}

// ParseFault parses "AT=ACTION:TARGET", such as "10s=kill_host:host-2". AT is the
// time since the start of the load.
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
	if !f.Action.isValid() {
		return Fault{}, errors.Errorf("fault %q: unknown action", text)
	}
	return f, nil
}

// FaultInjector injects faults into the system under load.
type FaultInjector interface {
	// Inject performs an action, or returns an error if it cannot be performed.
	Inject(ctx context.Context, action Action, target string) error
}

// surgeStates records for each workspace whether a surge is active. It is safe for
// concurrent use.
type surgeStates map[string]*atomic.Bool

func newSurgeStates(workspaces []Workspace) surgeStates {
	s := make(surgeStates, len(workspaces))
	for _, w := range workspaces {
		s[w.Name] = new(atomic.Bool)
	}
	return s
}

// set starts or ends the surge of a workspace. It reports whether the action is
// SurgeOn or SurgeOff; such an action on an unknown workspace has no effect.
func (s surgeStates) set(action Action, target string) bool {
	if action != SurgeOn && action != SurgeOff {
		return false
	}
	if flag, ok := s[target]; ok {
		flag.Store(action == SurgeOn)
	}
	return true
}

// factor returns the factor by which the offered load of w is multiplied.
func (s surgeStates) factor(w Workspace) float64 {
	if s[w.Name].Load() && w.Surge > 0 {
		return w.Surge
	}
	return 1
}

// injectFaults performs the faults of the profile at their times until ctx ends.
// Each one is recorded with the error of its injection, if any.
func (r *runner) injectFaults(ctx context.Context) {
	faults := append([]Fault(nil), r.profile.Faults...)
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].At < faults[j].At })
	for _, f := range faults {
		if !sleepUntil(ctx, r.start.Add(time.Duration(f.At))) {
			return
		}
		event := FaultEvent{At: time.Since(r.start).Seconds(), Action: f.Action, Target: f.Target}
		if !r.surgeStates.set(f.Action, f.Target) {
			if err := r.target.FaultInjector.Inject(ctx, f.Action, f.Target); err != nil {
				event.Error = err.Error()
			}
		}
		r.recorder.recordFault(event)
	}
}

// sleepUntil waits until at. It returns false if ctx ends first.
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

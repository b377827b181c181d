package metering

import (
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
)

// Timing of the schedule. The fractions of Config.Late are 1.5 s and 6 s with its usual 10 s.
const (
	// settleShare is the fraction of Config.Late that must pass after the end of a window before
	// it is decided, even if no report is missing: hosts that were removed may have counts at
	// control hosts that forward them within 0.1 s.
	settleShare = 0.15
	// incompleteShare is the fraction of Config.Late after which a window is decided without the
	// missing reports. The rest is for the call and its retries.
	incompleteShare = 0.6
	// learnTime is how long a leader collects reports before its first decision. Hosts resend all
	// retained windows once they know of a new leader, which takes a lease renewal of 0.4 s, and
	// control hosts forward theirs within 0.1 s.
	learnTime = 2 * time.Second
	// maxWindowsBack is the number of windows before the current one that are still decided after
	// an outage.
	maxWindowsBack = 6
	// claimMargin is the factor on Config.Lease for the delay before a claim. Clocks of hosts
	// differ by far less than a tenth over seconds.
	claimMargin = 1.1
	// CallTimeout bounds a call. The platform may execute it later. A new leadership sends nothing
	// before it has passed: a former leadership of the same host may have had a call in progress.
	CallTimeout = time.Second
	// callGap is the least time between the end of a call and the next one.
	callGap = 300 * time.Millisecond
	// minBackoff and maxBackoff bound the delay after a call with an unknown outcome. It doubles
	// with each.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
	// tallyRetry is the time between two looks at an incomplete tally. Hosts report every 0.2 s.
	tallyRetry = 200 * time.Millisecond
	// commandRetry is the delay after a command that was not accepted.
	commandRetry = 500 * time.Millisecond
)

// TallySource is what the Schedule needs to know of the collected reports. Its methods do not
// block.
type TallySource interface {
	// FleetTime returns the fleet's time of day at a time of package clock, and whether it is known.
	FleetTime(now time.Time) (time.Time, bool)
	// Tally returns what is known of the requests of a window.
	Tally(window int64) Tally
}

// CallOutcome is the result of a call that reports a window.
type CallOutcome int

// Outcomes of a call.
const (
	// CallUnknown: there was no answer, or none that tells. The call may be executed later.
	CallUnknown CallOutcome = iota
	// CallAccepted: the counts were accepted, now or by an earlier call.
	CallAccepted
	// CallRefused: a higher fence was seen. The fence of the call must not be used again.
	CallRefused
	// CallNotSent: nothing was sent, because the host may no longer act.
	CallNotSent
)

// String returns the name of the outcome in logs and metrics.
func (o CallOutcome) String() string {
	switch o {
	case CallAccepted:
		return "accepted"
	case CallRefused:
		return "refused"
	case CallNotSent:
		return "not_sent"
	}
	return "unknown"
}

// ActionKind is a kind of Action.
type ActionKind int

// Kinds of actions.
const (
	// Wait: nothing to do now. Action.Reason says what for.
	Wait ActionKind = iota
	// Claim proposes agreed.ClaimUsage with Fence as the expected one, and Window.
	Claim
	// Decide proposes agreed.DecideUsage with Fence, Window, Tally.Counts and Accepted.
	Decide
	// Send reports the decided Counts of Window under Fence.
	Send
)

// Action is what the leader has to do next. Each command is answered by
// Schedule.CommandDone and each call by Schedule.CallDone.
type Action struct {
	Kind     ActionKind
	Fence    uint64
	Window   int64
	Counts   map[string]uint64
	Tally    Tally
	Accepted int64
	// Skipped is the number of windows before Window that are dropped because they are too old.
	Skipped int64
	Reason  string
}

// ScheduleOptions configure a Schedule.
type ScheduleOptions struct {
	Config Config
	// Host and Incarnation identify the process of the leader.
	Host        string
	Incarnation uint64
	// LeadingSince is when the leader was confirmed.
	LeadingSince time.Time
	// ActFor bounds how long a former leader may still send. A claim waits at least that long.
	ActFor time.Duration
}

// ScheduleInput is what the Schedule decides from.
type ScheduleInput struct {
	// Now is the time of package clock.
	Now time.Time
	// Usage is the agreed state. It must hold all that former leaders have committed.
	Usage agreed.Usage
	// MayAct is set if the host may send now.
	MayAct bool
	// Refused is the highest fence of this process that was refused, zero for none. A call of a
	// former leadership may learn it late.
	Refused uint64
	Source  TallySource
}

// Schedule is the state machine of the usage reports on a confirmed leader. It allows one command
// and one call at a time, and is not safe for concurrent use.
type Schedule struct {
	opts ScheduleOptions
	// refused is the highest fence that was refused, and refusedAt when that was learnt.
	refused   uint64
	refusedAt time.Time
	accepted  int64 // the highest window accepted by a call of this Schedule

	proposing   bool
	nextCommand time.Time
	nextTally   time.Time
	calling     bool
	nextCall    time.Time
	backoff     time.Duration
}

// NewSchedule returns the Schedule of a new leadership.
func NewSchedule(opts ScheduleOptions) *Schedule {
	return &Schedule{opts: opts, nextCall: opts.LeadingSince.Add(CallTimeout)}
}

// Next returns the next action. Call it again until it returns Wait.
func (s *Schedule) Next(in ScheduleInput) Action {
	s.refuse(in.Now, in.Refused)
	command := s.nextCommandAction(in)
	if command.Kind != Wait {
		s.proposing = true
		return command
	}
	call := s.nextCallAction(in)
	if call.Kind != Wait {
		s.calling = true
		return call
	}
	if call.Reason != "" {
		return call
	}
	return command
}

// CommandDone ends the command in progress. A command that was not accepted is decided anew later.
func (s *Schedule) CommandDone(now time.Time, accepted bool) {
	s.proposing = false
	if !accepted {
		s.nextCommand = now.Add(commandRetry)
	}
}

// CallDone ends the call in progress.
func (s *Schedule) CallDone(now time.Time, fence uint64, window int64, outcome CallOutcome) {
	s.calling = false
	s.nextCall = now.Add(callGap)
	switch outcome {
	case CallAccepted:
		s.accepted, s.backoff = max(s.accepted, window), 0
	case CallRefused:
		s.refuse(now, fence)
		s.backoff = 0
	case CallUnknown:
		s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
		s.nextCall = now.Add(s.backoff)
	}
}

// refuse records a fence that was refused.
func (s *Schedule) refuse(now time.Time, fence uint64) {
	if fence > s.refused {
		s.refused, s.refusedAt = fence, now
	}
}

// holds reports whether this process may use the recorded fence.
func (s *Schedule) holds(u agreed.Usage) bool {
	return u.Fence > s.refused && u.Holder == s.opts.Host && u.Incarnation == s.opts.Incarnation
}

// nextCommandAction returns a claim, a decision, or Wait.
func (s *Schedule) nextCommandAction(in ScheduleInput) Action {
	if s.proposing || in.Now.Before(s.nextCommand) {
		return Action{Reason: "a command is in progress"}
	}
	now, known := in.Source.FleetTime(in.Now)
	if !known {
		return Action{Reason: "the fleet's time of day is not known"}
	}
	current := s.windowAt(now)
	if !s.holds(in.Usage) {
		return s.claim(in, current)
	}
	return s.decide(in, now, current)
}

func (s *Schedule) claim(in ScheduleInput, current int64) Action {
	switch {
	case !in.MayAct:
		return Action{Reason: "the host has no lease"}
	case in.Now.Before(s.claimAt(in.Usage)):
		return Action{Reason: "another host may have acted"}
	}
	return Action{Kind: Claim, Fence: in.Usage.Fence, Window: current}
}

// claimAt returns when this process may claim. A new process of the holder does not wait, but
// claims a fence of its own: the former process may have learnt that the recorded one was refused.
func (s *Schedule) claimAt(u agreed.Usage) time.Time {
	wait := max(time.Duration(claimMargin*float64(s.opts.Config.Lease)), time.Duration(claimMargin*float64(s.opts.ActFor)))
	switch {
	case u.Fence == 0:
		return time.Time{}
	case u.Fence <= s.refused:
		return s.refusedAt.Add(wait)
	case u.Holder == s.opts.Host:
		return time.Time{}
	}
	return s.opts.LeadingSince.Add(wait)
}

// decide returns the decision of the oldest window that is not decided, or Wait.
func (s *Schedule) decide(in ScheduleInput, now time.Time, current int64) Action {
	u := in.Usage
	window := max(u.Decided+1, current-maxWindowsBack)
	if window >= current {
		return Action{}
	}
	if in.Now.Before(s.opts.LeadingSince.Add(learnTime)) {
		return Action{Reason: "reports are being collected"}
	}
	age := now.Sub(s.WindowEnd(window))
	if age < s.lateShare(settleShare) {
		return Action{}
	}
	if in.Now.Before(s.nextTally) {
		return Action{Reason: "reports are missing"}
	}
	tally := in.Source.Tally(window)
	if len(tally.Missing) > 0 && age < s.lateShare(incompleteShare) {
		s.nextTally = in.Now.Add(tallyRetry)
		return Action{Reason: "reports are missing"}
	}
	return Action{
		Kind: Decide, Fence: u.Fence, Window: window, Counts: tally.Counts, Tally: tally, Accepted: s.accepted,
		Skipped: window - u.Decided - 1,
	}
}

// nextCallAction returns the call for the oldest window that is decided and not accepted, or Wait.
func (s *Schedule) nextCallAction(in ScheduleInput) Action {
	if s.calling || !s.holds(in.Usage) {
		return Action{}
	}
	for _, w := range in.Usage.Pending {
		switch {
		case w.Window <= max(in.Usage.Accepted, s.accepted):
		case !in.MayAct:
			return Action{Reason: "the host has no lease"}
		case in.Now.Before(s.nextCall):
			return Action{Reason: "the next call is not due"}
		default:
			return Action{Kind: Send, Fence: in.Usage.Fence, Window: w.Window, Counts: w.Counts}
		}
	}
	return Action{}
}

// Accepted returns the highest window that a call of this Schedule had accepted.
func (s *Schedule) Accepted() int64 { return s.accepted }

// windowAt returns the window that contains a time of day.
func (s *Schedule) windowAt(t time.Time) int64 { return t.UnixNano() / int64(s.opts.Config.Window) }

// WindowEnd returns the time of day at which a window ends.
func (s *Schedule) WindowEnd(window int64) time.Time {
	return time.Unix(0, (window+1)*int64(s.opts.Config.Window))
}

// lateShare returns a fraction of Config.Late.
func (s *Schedule) lateShare(share float64) time.Duration {
	return time.Duration(share * float64(s.opts.Config.Late))
}

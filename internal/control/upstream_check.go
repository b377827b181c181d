package control

import "time"

// upstreamCheckTime is how long an upstream that is alive may take to answer a lease request, which
// it does at once. It is below the time for which callers wait meanwhile.
const upstreamCheckTime = 150 * time.Millisecond

// checkUpstreamEvent asks whether the upstream answers.
type checkUpstreamEvent struct{}

func (checkUpstreamEvent) handle(s *Subscriber, now time.Time) {
	if s.leaving || !s.checkingSince.IsZero() {
		return
	}
	s.checkingSince = now
	s.renew(now)
}

// CheckUpstream is called when other hosts act on a state that this host lacks: its control host may be
// suspended. It makes the subscriber turn to another one unless its own answers. It does not block.
func (s *Subscriber) CheckUpstream() { s.post(checkUpstreamEvent{}) }

// endUpstreamCheck ends a check once the upstream has answered, or turns to another control host.
func (s *Subscriber) endUpstreamCheck(now time.Time) {
	switch {
	case s.checkingSince.IsZero():
	case s.lastGrant.After(s.checkingSince):
		s.checkingSince = time.Time{}
	case now.Sub(s.checkingSince) >= upstreamCheckTime:
		s.checkingSince = time.Time{}
		s.switchUpstream(now, s.nextUpstream())
		s.log.Info("control_host_silent", "next", s.upstream().Host)
	}
}

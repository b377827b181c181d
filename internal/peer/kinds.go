package peer

import "strconv"

// Kind identifies the type of a message between hosts. Numbers are part of the wire
// protocol and never reused.
type Kind uint16

// Kinds of messages. 1-9: consensus; 10-29: configuration and membership;
// 30-39: failover; 40-49: session positions; 50-59: quotas; 60-69: forwarded
// requests of callers.
const (
	KindConsensus Kind = 1
	KindProposal  Kind = 2

	KindRelayOK  Kind = 10
	KindDelta    Kind = 11
	KindSnapshot Kind = 12
	KindRenew    Kind = 13
	KindRenewOK  Kind = 14
	KindGoodbye  Kind = 15
	KindAnnounce Kind = 16
	KindStatus   Kind = 17
	KindDocument Kind = 18
	KindRenewNo  Kind = 19

	KindObservation Kind = 30
	KindPosition    Kind = 31
	KindPromote     Kind = 32
	KindLag         Kind = 33

	KindGather Kind = 40
	KindForget Kind = 41

	KindQuota   Kind = 50
	KindQuotaOK Kind = 51

	KindCancel Kind = 60
)

// kindInfo holds the name of a kind in metrics and logs and its treatment in the outgoing
// queue.
type kindInfo struct {
	name string
	// droppable messages are dropped when a queue is full, because a later message
	// supersedes them.
	droppable bool
}

var kinds = map[Kind]kindInfo{
	KindConsensus:   {"consensus", true},
	KindProposal:    {"proposal", false},
	KindRelayOK:     {"relay_ok", true},
	KindDelta:       {"delta", true},
	KindSnapshot:    {"snapshot", true},
	KindRenew:       {"renew", true},
	KindRenewOK:     {"renew_ok", true},
	KindGoodbye:     {"goodbye", false},
	KindAnnounce:    {"announce", true},
	KindStatus:      {"status", false},
	KindDocument:    {"document", false},
	KindRenewNo:     {"renew_no", true},
	KindObservation: {"observation", true},
	KindPosition:    {"position", false},
	KindPromote:     {"promote", false},
	KindLag:         {"lag", true},
	KindGather:      {"gather", false},
	KindForget:      {"forget", true},
	KindQuota:       {"quota", false},
	KindQuotaOK:     {"quota_ok", false},
	KindCancel:      {"cancel", false},
}

// String returns the name of the kind used in metrics and logs.
func (k Kind) String() string {
	if info, ok := kinds[k]; ok {
		return info.name
	}
	return "kind_" + strconv.Itoa(int(k))
}

// isDefined reports whether the kind is one of the constants. Messages of other kinds are
// refused as malformed.
func (k Kind) isDefined() bool {
	_, ok := kinds[k]
	return ok
}

func (k Kind) droppable() bool { return kinds[k].droppable }

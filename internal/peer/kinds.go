package peer

import "strconv"

// Kind identifies the type of a message between hosts. Numbers are part of the wire
// protocol and never reused.
type Kind uint16

// Kinds of messages. 1-9: consensus; 10-29: configuration and membership;
// 30-39: failover; 40-49: session positions; 50-59: quotas; 60-69: forwarded
// requests of callers; 70-79: usage reports.
const (
	KindConsensus Kind = 1 // consensus message between control hosts
	KindProposal  Kind = 2 // request to change the agreed state

	KindRelayOK  Kind = 10 // answer of the leader to a lease request of a relay
	KindDelta    Kind = 11 // changes of the agreed state, for a subscriber
	KindSnapshot Kind = 12 // whole agreed state, for a subscriber
	KindRenew    Kind = 13 // request or release of configuration leases
	KindRenewOK  Kind = 14 // answer of a control host to a lease request of a subscriber
	KindGoodbye  Kind = 15 // request to remove the sender's host
	KindAnnounce Kind = 16 // announcement of an endpoint
	KindStatus   Kind = 17 // request for the status of the fleet
	KindDocument Kind = 18 // request for the accepted configuration
	KindRenewNo  Kind = 19 // refusal of a lease request by a control host without state

	KindRelaySettled Kind = 20 // settled revision, for a control host
	KindSettled      Kind = 21 // settled revision, for a subscriber

	KindObservation Kind = 30 // observed condition of an endpoint, for the leader
	KindPosition    Kind = 31 // request to probe an endpoint
	KindPromote     Kind = 32 // request to promote an endpoint
	KindLag         Kind = 33 // reserved, not sent
	KindWitness     Kind = 34 // request to probe an endpoint and to report what was observed

	KindGather Kind = 40 // request for the positions of a service
	KindForget Kind = 41 // reserved, not sent

	KindQuota   Kind = 50 // lease request of a holder to an owner of limits
	KindQuotaOK Kind = 51 // answer of the owner

	KindCancel         Kind = 60 // forwarded cancel request of a caller
	KindStatement      Kind = 61 // statement of a caller, for a home host
	KindTransactionEnd Kind = 62 // request to roll back a transaction at a home host
	KindStatementProbe Kind = 63 // question whether a home host runs statements

	KindUsage Kind = 70 // counts of requests by workspace, for a control host
)

// kindInfo holds the name of a kind in metrics and logs and its treatment in the outgoing
// queue.
type kindInfo struct {
	name string
	// droppable messages are dropped when a queue is full, because a later message
	// supersedes them.
	droppable bool
	// fromCallers marks requests whose number depends on the callers. They have slots of
	// their own, so that they do not displace those of the fleet.
	fromCallers bool
}

var kinds = map[Kind]kindInfo{
	KindConsensus:      {name: "consensus", droppable: true},
	KindProposal:       {name: "proposal"},
	KindRelayOK:        {name: "relay_ok", droppable: true},
	KindDelta:          {name: "delta", droppable: true},
	KindSnapshot:       {name: "snapshot", droppable: true},
	KindRenew:          {name: "renew", droppable: true},
	KindRenewOK:        {name: "renew_ok", droppable: true},
	KindGoodbye:        {name: "goodbye"},
	KindAnnounce:       {name: "announce", droppable: true},
	KindStatus:         {name: "status"},
	KindDocument:       {name: "document"},
	KindRenewNo:        {name: "renew_no", droppable: true},
	KindRelaySettled:   {name: "relay_settled", droppable: true},
	KindSettled:        {name: "settled", droppable: true},
	KindObservation:    {name: "observation", droppable: true},
	KindPosition:       {name: "position"},
	KindPromote:        {name: "promote"},
	KindLag:            {name: "lag", droppable: true},
	KindWitness:        {name: "witness", droppable: true},
	KindGather:         {name: "gather"},
	KindForget:         {name: "forget", droppable: true},
	KindQuota:          {name: "quota"},
	KindQuotaOK:        {name: "quota_ok"},
	KindCancel:         {name: "cancel"},
	KindStatement:      {name: "statement", fromCallers: true},
	KindTransactionEnd: {name: "transaction_end"},
	KindStatementProbe: {name: "statement_probe"},
	KindUsage:          {name: "usage"},
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

package control

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/failover"
	"github.com/galenabridge/galenabridge/internal/peer"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/view"
)

// Limits of endpoint requests through other hosts.
const (
	// directAttemptDivisor is the divisor of the remaining time that gives the
	// timeout of the leader's own attempt, before it tries other hosts.
	directAttemptDivisor = 2
	maxHelpers           = 2 // hosts
)

// endpointRequest requests a host to probe or promote an endpoint.
type endpointRequest struct {
	Endpoint string `cbor:"1,keyasint"`
	// Fence is the fence of a promotion order, zero in a probe.
	Fence uint64 `cbor:"2,keyasint,omitempty"`
}

// ServeEndpointRequests lets the control leader probe and promote endpoints through
// this host if the leader cannot reach them itself. Call it before the node runs.
func ServeEndpointRequests(node *peer.Node, source view.Source, endpoints EndpointManager) {
	peer.OnCall(node, peer.KindPosition, func(ctx context.Context, _ peer.Identity, r endpointRequest) (failover.Condition, error) {
		state, e, err := findEndpoint(source, r.Endpoint)
		if err != nil {
			return failover.Condition{}, err
		}
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		return endpoints.Probe(ctx, state.Catalog.Services[e.Service], e), nil
	})
	peer.OnCall(node, peer.KindPromote, func(ctx context.Context, _ peer.Identity, r endpointRequest) (struct{}, error) {
		state, e, err := findEndpoint(source, r.Endpoint)
		if err == nil {
			err = checkPromotion(source.Current(), e, r.Fence)
		}
		if err != nil {
			return struct{}{}, err
		}
		ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
		defer cancel()
		_, err = endpoints.Promote(ctx, failover.Order{Service: state.Catalog.Services[e.Service], Endpoint: e, Fence: r.Fence})
		return struct{}{}, err
	})
}

// checkPromotion returns an error for an order that may have been read long after the leader has
// gone on. A host whose lease has ended, for example since it was suspended, does not know what has
// been decided meanwhile; with a lease it knows at least the terms, and refuses an order older than
// the last change of the group.
func checkPromotion(v view.View, e agreed.Endpoint, fence uint64) error {
	if !v.Valid() {
		return result.New(result.NoConfigLease, "the host may have missed what was decided after the order")
	}
	if g := v.State.Groups[e.Service]; g.Changed > fence {
		return result.New(result.OrderOvertaken, "the group of service %q has changed at %d, after the order of %d", e.Service, g.Changed, fence)
	}
	return nil
}

// findEndpoint returns an endpoint and the state of this host's view.
func findEndpoint(source view.Source, id string) (*agreed.State, agreed.Endpoint, error) {
	state := source.Current().State
	if state == nil {
		return nil, agreed.Endpoint{}, result.New(result.NoConfigLease, "the host has no state yet")
	}
	e, ok := state.Endpoints[id]
	if !ok {
		return nil, e, result.New(result.NoEndpoint, "no endpoint %q", id)
	}
	return state, e, nil
}

// endpointClient probes and promotes endpoints, directly or through other hosts.
type endpointClient struct {
	node      *peer.Node
	endpoints EndpointManager
	state     *agreed.State
	// fenced is set if orders may be executed late. Only the leader then sends an
	// order, and sends it once.
	fenced bool
}

// probe returns the condition of an endpoint, read through other hosts if the
// direct attempt cannot reach it.
func (c endpointClient) probe(ctx context.Context, e agreed.Endpoint) failover.Condition {
	direct, cancel := withTimeFraction(ctx, directAttemptDivisor)
	condition := c.endpoints.Probe(direct, c.state.Catalog.Services[e.Service], e)
	cancel()
	for _, helper := range c.helpers(e) {
		if condition.Reachable || ctx.Err() != nil {
			break
		}
		var answer failover.Condition
		if err := c.node.Call(ctx, helper.ID, helper.PeerAddr, peer.KindPosition, endpointRequest{Endpoint: e.ID}, &answer); err == nil {
			condition = answer
		}
	}
	return condition
}

// promote orders an endpoint to become the primary. Orders without a fence are
// repeated through other hosts if the direct attempt fails.
func (c endpointClient) promote(ctx context.Context, e agreed.Endpoint, fence uint64) (failover.OrderOutcome, error) {
	if c.fenced {
		return c.endpoints.Promote(ctx, c.order(e, fence))
	}
	direct, cancel := withTimeFraction(ctx, directAttemptDivisor)
	_, err := c.endpoints.Promote(direct, c.order(e, fence))
	cancel()
	for _, helper := range c.helpers(e) {
		if err == nil || ctx.Err() != nil {
			break
		}
		err = c.node.Call(ctx, helper.ID, helper.PeerAddr, peer.KindPromote, endpointRequest{Endpoint: e.ID, Fence: fence}, nil)
	}
	if err != nil {
		return failover.OrderRefused, err
	}
	return failover.OrderAccepted, nil
}

func (c endpointClient) order(e agreed.Endpoint, fence uint64) failover.Order {
	return failover.Order{Service: c.state.Catalog.Services[e.Service], Endpoint: e, Fence: fence}
}

// helpers returns up to maxHelpers entry hosts that may reach the endpoint, those in
// its failure domain first.
func (c endpointClient) helpers(e agreed.Endpoint) []agreed.Host {
	var hosts []agreed.Host
	for _, h := range c.state.Hosts {
		if h.Entry && h.ID != c.node.Host() {
			hosts = append(hosts, h)
		}
	}
	slices.SortFunc(hosts, func(a, b agreed.Host) int {
		if n := compareBool(b.Domain == e.Domain, a.Domain == e.Domain); n != 0 {
			return n
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return hosts[:min(len(hosts), maxHelpers)]
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// withTimeFraction returns a context with 1/divisor of the time that ctx has left.
func withTimeFraction(ctx context.Context, divisor int) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(deadline)/time.Duration(divisor))
}

package bench

import (
	"fmt"
	"math/rand/v2"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/route"
	"hickoryrail/core/view"
)

// Policies of load balancing, as named in the table.
const (
	policyToday    = "two choices (today)"
	policyExpected = "expected time"
	policyEstimate = "two choices, estimate"
	policyCapacity = "remaining capacity"
	policyIdle     = "join idle queue"
	policyPrequal  = "Prequal"
	policyNamed    = "gate names a free one"
)

// hostedDomainFactor is the DomainFactor of the picker on the users' platform.
const hostedDomainFactor = 3

var (
	// balancePolicies are the policies of the table.
	balancePolicies = []string{policyToday, policyEstimate, policyCapacity, policyIdle, policyPrequal, policyNamed, policyExpected}
	// balanceFaults are the faults of the table.
	balanceFaults = []string{balanceNoFault, balanceFalse, balanceCold, balanceHang, balanceLimit, balanceRestart, balanceNoPace}
)

type (
	// balancer chooses the targets of one node.
	balancer interface {
		setView(now clock.Millis, v *view.View)
		pick(now clock.Millis, service ident.ServiceName, exclude []ident.TargetID) (ident.TargetID, bool)
		done(now clock.Millis, id ident.TargetID, o route.Outcome)
		// name returns the target that the node's gate names in a refusal, or "".
		name(now clock.Millis, service ident.ServiceName, exclude []ident.TargetID) ident.TargetID
		// take counts a call to a target that a gate has named.
		take(now clock.Millis, id ident.TargetID) bool
	}

	// pickerBalancer chooses with a route.Picker.
	pickerBalancer struct {
		picker route.Picker
		// names is set if the node's gate names a target in refusals.
		names bool
	}
)

// newBalancer returns the balancer of node i.
func newBalancer(r *balanceSimulation, i int) balancer {
	random := rand.New(rand.NewPCG(balanceSeed+1, uint64(i)))
	p := route.Picker{
		Self: ident.NodeID(fmt.Sprint("node-", i)), FailureDomain: domainName(r.nodes[i].domain), Region: "one", Rand: random,
		Limits: route.Limits{DomainFactor: hostedDomainFactor, LocalPair: true, StaleMillis: 10 * clock.Second, Balance: route.BalanceOff},
	}
	switch r.policy {
	case policyToday, policyNamed:
		return &pickerBalancer{picker: p, names: r.policy == policyNamed}
	case policyExpected:
		p.Limits.Balance = route.BalanceAuto
		return &pickerBalancer{picker: p}
	}
	return newSimBalancer(r, i, random)
}

// setView passes the view to the picker.
func (b *pickerBalancer) setView(now clock.Millis, v *view.View) { b.picker.SetView(now, v) }

// pick chooses with the picker.
func (b *pickerBalancer) pick(now clock.Millis, service ident.ServiceName, exclude []ident.TargetID) (ident.TargetID, bool) {
	c, ok := b.picker.Pick(now, service, exclude)
	return c.Target.ID, ok
}

// done passes the outcome to the picker.
func (b *pickerBalancer) done(now clock.Millis, id ident.TargetID, o route.Outcome) {
	b.picker.Done(now, id, o)
}

// name returns the picker's choice, without a call in flight to it.
func (b *pickerBalancer) name(now clock.Millis, service ident.ServiceName, exclude []ident.TargetID) ident.TargetID {
	if !b.names {
		return ""
	}
	c, ok := b.picker.Pick(now, service, exclude)
	if !ok {
		return ""
	}
	b.picker.Done(now, c.Target.ID, route.Outcome{Gate: 99}) // of another incarnation: only ends the call
	return c.Target.ID
}

// take accepts a target that a gate has named. The picker does not count the call.
func (b *pickerBalancer) take(clock.Millis, ident.TargetID) bool {
	return b.names
}

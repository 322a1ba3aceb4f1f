package bench

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/route"
	"hickoryrail/core/view"
)

// newChooser returns the chooser with the given name for ingress i.
func newChooser(choice string, i int, d deployment) chooser {
	random := rand.New(rand.NewPCG(routeSeed+1, uint64(i)))
	switch choice {
	case "random":
		return &randomChooser{rand: random}
	case "round robin":
		return &roundRobinChooser{next: i}
	}
	return &pickerChooser{route.Picker{
		Self: ident.NodeID(fmt.Sprint("node-", i)), FailureDomain: domainName(i % d.domains), Region: "one", Rand: random,
	}}
}

// firstEligible returns the first target from index start on that is not excluded.
func firstEligible(targets []view.Target, start int, exclude []ident.TargetID) (view.Target, bool) {
	for i := range targets {
		if t := targets[(start+i)%len(targets)]; !slices.Contains(exclude, t.ID) {
			return t, true
		}
	}
	return view.Target{}, false
}

// pick chooses by power of two choices.
func (p *pickerChooser) pick(now clock.Millis, exclude []ident.TargetID) (view.Target, bool) {
	c, ok := p.picker.Pick(now, serviceName, exclude)
	return c.Target, ok
}

// done passes the outcome to the picker.
func (p *pickerChooser) done(now clock.Millis, id ident.TargetID, o route.Outcome) {
	p.picker.Done(now, id, o)
}

// setView passes the view to the picker.
func (p *pickerChooser) setView(now clock.Millis, v *view.View) {
	p.picker.SetView(now, v)
}

// pick chooses a target at random.
func (c *randomChooser) pick(_ clock.Millis, exclude []ident.TargetID) (view.Target, bool) {
	start := c.rand.IntN(len(c.targets))
	return firstEligible(c.targets, start, exclude)
}

// done ignores the outcome.
func (c *randomChooser) done(clock.Millis, ident.TargetID, route.Outcome) {}

// setView replaces the targets.
func (c *randomChooser) setView(_ clock.Millis, v *view.View) {
	c.targets = v.Targets(serviceName)
}

// pick chooses the next target in turn.
func (c *roundRobinChooser) pick(_ clock.Millis, exclude []ident.TargetID) (view.Target, bool) {
	c.next++
	return firstEligible(c.targets, c.next%len(c.targets), exclude)
}

// done ignores the outcome.
func (c *roundRobinChooser) done(clock.Millis, ident.TargetID, route.Outcome) {}

// setView replaces the targets.
func (c *roundRobinChooser) setView(_ clock.Millis, v *view.View) {
	c.targets = v.Targets(serviceName)
}

package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/sourcegraph/conc"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
	"hickoryrail/io/admin"
)

const (
	// startTimeout bounds the wait until every node is ready and routes to every target.
	startTimeout = 15 * time.Second
	// releaseTimeout bounds the wait until a release is in force everywhere.
	releaseTimeout = 14 * time.Second
	// drainTimeout bounds a graceful stop.
	drainTimeout = 10 * time.Second
	// drainBound is the time from the start of a drain after which a target must get no
	// new request.
	drainBound = 3 * clock.Second
	// stepDuration is the time for which calls run between two steps.
	stepDuration = 700 * time.Millisecond
	// pollPeriod is the interval at which await checks its condition.
	pollPeriod = 2 * time.Millisecond
)

var (
	// errViolation reports that a guarantee was violated.
	errViolation = errors.New("demo: a guarantee was violated")
	// errTimeout reports a step that did not finish in time.
	errTimeout = errors.New("demo: step did not finish in time")
)

// run is one run of the demonstration.
type run struct {
	w      io.Writer
	fleet  *Fleet
	ledger *Ledger
	client *admin.Client
	// violations describes the guarantees that were violated.
	violations []string
}

// Run runs the demonstration and writes its report to w. The error is not nil
// unless every guarantee held. The log of the nodes goes to logOutput.
func Run(ctx context.Context, w, logOutput io.Writer) error {
	d := &run{w: w, ledger: &Ledger{}, fleet: &Fleet{LogOutput: logOutput, Layout: Layout{
		Nodes: 6, Domains: []ident.FailureDomain{"attica-a", "attica-b", "attica-c"},
		Services:    []ident.ServiceName{"orders", "catalogue"},
		DelayMillis: 2, RoundMillis: 100, Decisions: "all",
	}}}
	err := d.fleet.Start(ctx)
	if err == nil {
		err = d.runSteps(ctx)
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout)
	defer cancel()
	err = errors.Join(err, d.fleet.Stop(stopCtx))
	if err != nil {
		return err
	}
	return d.report()
}

// runSteps publishes the first release, waits until the fleet is ready, and then changes
// the fleet while calls run.
func (d *run) runSteps(ctx context.Context) error {
	var err error
	if d.client, err = d.fleet.Operator(); err != nil {
		return err
	}
	d.printf("fleet: %d nodes in %d failure domains, %d services", d.fleet.Nodes, len(d.fleet.Domains), len(d.fleet.Services))
	if err := d.publish(ctx, 0, configuration(1500)); err != nil {
		return err
	}
	if err := d.await(startTimeout, d.fleet.Ready); err != nil {
		return fmt.Errorf("fleet is not ready: %w", err)
	}
	callerCtx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	callers := &Callers{Addresses: d.fleet.CallerAddresses(), Count: 12, Pause: 2 * time.Millisecond, MaxCalls: 4000, Ledger: d.ledger}
	wg.Go(func() { callers.Run(callerCtx) })
	err = d.changeFleet(ctx)
	cancel()
	wg.Wait()
	return err
}

// changeFleet publishes a second release, drains a target and stops another one
// abruptly while calls run.
func (d *run) changeFleet(ctx context.Context) error {
	time.Sleep(stepDuration)
	if err := d.publish(ctx, 1, configuration(2500)); err != nil {
		return err
	}
	time.Sleep(stepDuration)
	if err := d.drain(ctx, 0); err != nil {
		return err
	}
	time.Sleep(stepDuration)
	d.fleet.KillTarget(3)
	d.printf("target %s stopped abruptly", d.fleet.TargetID(3))
	time.Sleep(2 * stepDuration)
	return nil
}

// publish publishes a configuration and waits until it is in force everywhere.
func (d *run) publish(ctx context.Context, base ident.Version, c model.Configuration) error {
	before := d.fleet.ControlBytes()
	id := ident.EditID(fmt.Sprintf("demo-%d", base+1))
	out, err := d.client.Submit(ctx, admin.Edit{EditID: id, Base: base, Operator: "demo", Configuration: c})
	if err != nil {
		return err
	}
	accepted := time.Now()
	if out.State != admin.Accepted {
		return fmt.Errorf("demo: edit ended as %s: %s", out.State, out.Reason)
	}
	if err := d.await(releaseTimeout, func() bool { return d.fleet.LowestVersion() >= out.Version }); err != nil {
		return fmt.Errorf("version %d: %w", out.Version, err)
	}
	took := time.Since(accepted)
	d.printf("version %d accepted, in force on %d nodes after %.0f ms (control bytes sent meanwhile: %d)",
		out.Version, d.fleet.Nodes, float64(took.Microseconds())/1000, d.fleet.ControlBytes()-before)
	return nil
}

// drain stops a target gracefully and checks when its last new request started.
func (d *run) drain(ctx context.Context, i int) error {
	t := d.fleet.targets[i]
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	drainStart := clock.FromTime(time.Now())
	if err := t.Drain(ctx); err != nil {
		return err
	}
	time.Sleep(stepDuration)
	last := t.LastStart() - drainStart
	d.printf("target %s drained: last new request started %.0f ms after the drain began, 0 means none", t.ID, float64(max(last, 0)))
	d.check(last <= drainBound, "draining target got a new request after the bound")
	return nil
}

// report prints the totals and returns an error unless every guarantee held.
func (d *run) report() error {
	totals := d.ledger.Totals(d.fleet.Runs())
	d.printf("%s", totals)
	d.printf("control bytes sent by all nodes: %d", d.fleet.ControlBytes())
	d.check(totals.OK(), "a request was doubled, lost, crossed or ran after a refusal")
	if len(d.violations) == 0 {
		d.printf("every guarantee held")
		return nil
	}
	for _, v := range d.violations {
		d.printf("violated: %s", v)
	}
	return errViolation
}

// check records a violation unless ok.
func (d *run) check(ok bool, violation string) {
	if !ok {
		d.violations = append(d.violations, violation)
	}
}

// await polls done until it returns true; after the timeout it returns errTimeout.
func (d *run) await(timeout time.Duration, done func() bool) error {
	deadline := time.Now().Add(timeout)
	for !done() {
		if time.Now().After(deadline) {
			return errTimeout
		}
		time.Sleep(pollPeriod)
	}
	return nil
}

// printf writes one line of the report.
func (d *run) printf(format string, args ...any) {
	fmt.Fprintf(d.w, format+"\n", args...)
}

// configuration returns the configuration of the demo, with the timeout of the orders
// route.
func configuration(timeout clock.Millis) model.Configuration {
	return model.Configuration{
		Inventory: model.Inventory{
			FailureDomains: []model.FailureDomain{
				{Name: "attica-a", Region: "attica"}, {Name: "attica-b", Region: "attica"}, {Name: "attica-c", Region: "attica"},
			},
			Services: []model.Service{
				{Name: "orders", Slots: 6, Connections: 130}, {Name: "catalogue", Slots: 6, Connections: 130},
			},
		},
		Rules: model.Rules{Routes: []model.Route{
			{Name: "orders", PathPrefix: "/orders", Service: "orders", Class: model.Action, TimeoutMillis: timeout, MaxAttempts: 3, HedgeAfterMillis: -1},
			{Name: "catalogue", PathPrefix: "/catalogue", Service: "catalogue", Class: model.Browse, Idempotent: true, TimeoutMillis: 1000, MaxAttempts: 3, HedgeAfterMillis: -1},
		}},
	}
}

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
	// startTimeout bounds the wait until every node is ready and every target is
	// routable.
	startTimeout = 15 * time.Second
	// releaseTimeout bounds the wait until a release is in force everywhere.
	releaseTimeout = 14 * time.Second
	// drainTimeout bounds a graceful stop.
	drainTimeout = 10 * time.Second
	// drainBound is the time after which a leaving target gets no new work.
	drainBound = 3 * clock.Second
	// phase is the time that calls run between two steps.
	phase = 700 * time.Millisecond
	// pollPeriod is the period of checks.
	pollPeriod = 2 * time.Millisecond
)

var (
	// errPromise reports that a promise did not hold.
	errPromise = errors.New("demo: a promise did not hold")
	// errTimeout reports a step that did not end in time.
	errTimeout = errors.New("demo: step did not end in time")
)

// run is one run of the demonstration.
type run struct {
	w      io.Writer
	fleet  *Fleet
	ledger *Ledger
	client *admin.Client
	// broken collects the promises that did not hold.
	broken []string
}

// Run runs the demonstration and writes its report to w. The error is not nil
// unless every promise held. The log of the nodes goes to output.
func Run(ctx context.Context, w, output io.Writer) error {
	d := &run{w: w, ledger: &Ledger{}, fleet: &Fleet{Output: output, Layout: Layout{
		Nodes: 6, Domains: []ident.FailureDomain{"attica-a", "attica-b", "attica-c"},
		Services:    []ident.ServiceName{"orders", "catalogue"},
		DelayMillis: 2, RoundMillis: 100, Decisions: "all",
	}}}
	err := d.fleet.Start(ctx)
	if err == nil {
		err = d.steps(ctx)
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout)
	defer cancel()
	err = errors.Join(err, d.fleet.Stop(stop))
	if err != nil {
		return err
	}
	return d.report()
}

// steps publishes two releases and stops two targets while calls run.
func (d *run) steps(ctx context.Context) error {
	var err error
	if d.client, err = d.fleet.Operator(); err != nil {
		return err
	}
	d.printf("fleet: %d nodes in %d failure domains, %d services", d.fleet.Nodes, len(d.fleet.Domains), len(d.fleet.Services))
	if err := d.release(ctx, 0, configuration(1500)); err != nil {
		return err
	}
	if err := d.await(startTimeout, d.fleet.Ready); err != nil {
		return fmt.Errorf("fleet is not ready: %w", err)
	}
	calls, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	callers := &Callers{Addresses: d.fleet.CallerAddresses(), Count: 12, Pause: 2 * time.Millisecond, MaxCalls: 4000, Ledger: d.ledger}
	wg.Go(func() { callers.Run(calls) })
	err = d.disturb(ctx)
	cancel()
	wg.Wait()
	return err
}

// disturb changes the fleet while calls run.
func (d *run) disturb(ctx context.Context) error {
	time.Sleep(phase)
	if err := d.release(ctx, 1, configuration(2500)); err != nil {
		return err
	}
	time.Sleep(phase)
	if err := d.drain(ctx, 0); err != nil {
		return err
	}
	time.Sleep(phase)
	d.fleet.KillTarget(3)
	d.printf("target %s stopped abruptly", d.fleet.TargetID(3))
	time.Sleep(2 * phase)
	return nil
}

// release publishes a configuration and waits until it is in force everywhere.
func (d *run) release(ctx context.Context, base ident.Version, c model.Configuration) error {
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

// drain stops a target gracefully and checks its last new request.
func (d *run) drain(ctx context.Context, i int) error {
	t := d.fleet.targets[i]
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	began := clock.FromTime(time.Now())
	if err := t.Drain(ctx); err != nil {
		return err
	}
	time.Sleep(phase)
	last := t.LastStart() - began
	d.printf("target %s drained: last new request %.0f ms after it said so, 0 means none", t.ID, float64(max(last, 0)))
	d.check(last <= drainBound, "leaving target got new work")
	return nil
}

// report prints the totals and returns an error unless the promises held.
func (d *run) report() error {
	totals := d.ledger.Totals(d.fleet.Runs())
	d.printf("%s", totals)
	d.printf("control bytes sent by all nodes: %d", d.fleet.ControlBytes())
	d.check(totals.Held(), "a request was doubled, lost, crossed or ran after a refusal")
	if len(d.broken) == 0 {
		d.printf("every promise held")
		return nil
	}
	for _, b := range d.broken {
		d.printf("broken: %s", b)
	}
	return errPromise
}

// check notes a promise that did not hold.
func (d *run) check(ok bool, promise string) {
	if !ok {
		d.broken = append(d.broken, promise)
	}
}

// await polls until done or timeout.
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

// configuration returns the demo's configuration with a timeout for actions.
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

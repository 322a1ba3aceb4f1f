package procs

import (
	"context"
	"errors"
	"fmt"
	"io"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
	"hickoryrail/core/order"
	"hickoryrail/io/admin"
	"hickoryrail/io/demo"
	"hickoryrail/io/plat"
)

const (
	// readyTimeout bounds the start of a fleet.
	readyTimeout = 60 * time.Second
	// step is the time that calls run between two steps of a trial.
	step = 2 * time.Second
	// maxCalls bounds the calls of one caller.
	maxCalls = 20_000
	// callers is the number of callers.
	callers = 12
)

// errPromise reports a trial in which a promise did not hold.
var errPromise = errors.New("procs: a promise did not hold")

// Trial disturbs a fleet of processes while calls run and compares what callers
// were told with what targets ran.
type Trial struct {
	W     io.Writer
	Fleet *Fleet
	// Without lists nodes that callers do not use, because they are disturbed.
	Without []int
	// Disturb changes the fleet; calls run until it returns.
	Disturb func(t *Trial) error

	ledger demo.Ledger
	client *admin.Client
}

// Run starts the fleet, publishes a release, runs the trial and reports.
func (t *Trial) Run(ctx context.Context) error {
	err := t.Fleet.Start(ctx)
	if err == nil {
		err = t.steps(ctx)
	}
	if stopped := t.Fleet.Stop(); err == nil {
		err = stopped
	}
	if err != nil {
		return err
	}
	totals := t.ledger.Totals(t.Fleet.Runs())
	fmt.Fprintln(t.W, totals)
	if !totals.Held() {
		return errPromise
	}
	return nil
}

// steps publishes a release and disturbs the fleet while calls run.
func (t *Trial) steps(ctx context.Context) error {
	if err := t.Fleet.awaitServers(readyTimeout); err != nil {
		return err
	}
	var err error
	if t.client, err = t.Fleet.Operator(0); err != nil {
		return err
	}
	if _, err := t.Publish(ctx, 0, 1500); err != nil {
		return err
	}
	if err := t.Fleet.AwaitReady(readyTimeout, t.all(), t.Fleet.Nodes, t.Fleet.Targets); err != nil {
		return err
	}
	fmt.Fprintf(t.W, "%d node processes ready\n", t.Fleet.Nodes)
	calls, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	c := &demo.Callers{Addresses: t.addresses(), Count: callers, Pause: time.Millisecond, MaxCalls: maxCalls, Ledger: &t.ledger}
	wg.Go(func() { c.Run(calls) })
	time.Sleep(step)
	err = t.Disturb(t)
	cancel()
	wg.Wait()
	return err
}

// Publish publishes a release based on base and returns its outcome.
func (t *Trial) Publish(ctx context.Context, base ident.Version, timeout clock.Millis) (admin.Outcome, error) {
	return t.client.Submit(ctx, admin.Edit{
		EditID: ident.EditID(fmt.Sprintf("trial-%d", base+1)), Base: base, Operator: "trial",
		Configuration: Configuration(t.Fleet.Domains, t.Fleet.Services, timeout),
	})
}

// all returns the numbers of all nodes.
func (t *Trial) all() []int {
	out := make([]int, t.Fleet.Nodes)
	for i := range out {
		out[i] = i
	}
	return out
}

// addresses returns the caller addresses of the nodes that callers use.
func (t *Trial) addresses() []string {
	var out []string
	for i := range t.Fleet.Nodes {
		used := true
		for _, w := range t.Without {
			used = used && w != i
		}
		if used {
			out = append(out, t.Fleet.CallerAddress(i))
		}
	}
	return out
}

// awaitServers waits until every node answers on its admin address.
func (f *Fleet) awaitServers(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for i := range f.nodes {
		for {
			if _, err := f.Status(i); err == nil {
				break
			}
			if time.Now().After(deadline) {
				return errNotReady
			}
			time.Sleep(pollPeriod)
		}
	}
	return nil
}

// Kill ends a node with SIGKILL under load, publishes a release while it is gone
// and starts it again.
func Kill(t *Trial) error {
	victim := t.Without[0]
	if err := t.Fleet.Kill(victim); err != nil {
		return err
	}
	fmt.Fprintf(t.W, "node-%d killed\n", victim+1)
	time.Sleep(step)
	if _, err := t.Publish(context.Background(), 1, 2500); err != nil {
		return err
	}
	began := time.Now()
	if err := t.Fleet.Restart(victim); err != nil {
		return err
	}
	if err := t.Fleet.AwaitReady(readyTimeout, t.all(), t.Fleet.Nodes, t.Fleet.Targets); err != nil {
		return err
	}
	fmt.Fprintf(t.W, "node-%d restarted; all nodes and targets ready after %.1f s\n", victim+1, time.Since(began).Seconds())
	time.Sleep(step)
	return nil
}

// Freeze pauses a node with SIGSTOP under load and continues it.
func Freeze(t *Trial) error {
	victim := t.Without[0]
	if err := t.Fleet.Signal(victim, syscall.SIGSTOP); err != nil {
		return err
	}
	fmt.Fprintf(t.W, "node-%d paused\n", victim+1)
	time.Sleep(2 * step)
	if err := t.Fleet.Signal(victim, syscall.SIGCONT); err != nil {
		return err
	}
	began := time.Now()
	if err := t.Fleet.AwaitReady(readyTimeout, t.all(), t.Fleet.Nodes, t.Fleet.Targets); err != nil {
		return err
	}
	fmt.Fprintf(t.W, "node-%d continued; all nodes and targets ready after %.1f s\n", victim+1, time.Since(began).Seconds())
	time.Sleep(step)
	return nil
}

// Terminate stops a node gracefully under load and starts it again.
func Terminate(t *Trial) error {
	victim := t.Without[0]
	took, err := t.Fleet.Terminate(victim)
	if err != nil {
		return err
	}
	fmt.Fprintf(t.W, "node-%d stopped gracefully in %.1f s\n", victim+1, took.Seconds())
	time.Sleep(step)
	if err := t.Fleet.Restart(victim); err != nil {
		return err
	}
	return t.Fleet.AwaitReady(readyTimeout, t.all(), t.Fleet.Nodes, t.Fleet.Targets)
}

// Outage takes the platform down under load and restarts a node meanwhile.
func Outage(t *Trial) error {
	t.Fleet.Platform().SetDown(true)
	fmt.Fprintln(t.W, "platform down")
	victim := t.Without[0]
	if err := t.Fleet.Kill(victim); err != nil {
		return err
	}
	time.Sleep(step)
	began := time.Now()
	if err := t.Fleet.Restart(victim); err != nil {
		return err
	}
	if err := t.Fleet.AwaitReady(readyTimeout, t.all(), t.Fleet.Nodes, t.Fleet.Targets); err != nil {
		return err
	}
	fmt.Fprintf(t.W, "node-%d restarted without the platform; all ready after %.1f s\n", victim+1, time.Since(began).Seconds())
	t.Fleet.Platform().SetDown(false)
	time.Sleep(step)
	return nil
}

// Configuration returns a configuration with a route to each service: actions
// for the first one, idempotent requests for the others.
func Configuration(domains []ident.FailureDomain, services []ident.ServiceName, timeout clock.Millis) model.Configuration {
	var c model.Configuration
	for _, d := range domains {
		c.Inventory.FailureDomains = append(c.Inventory.FailureDomains, model.FailureDomain{Name: d, Region: "attica"})
	}
	for i, s := range services {
		c.Inventory.Services = append(c.Inventory.Services, model.Service{Name: s, Slots: 6, Connections: 130})
		r := model.Route{
			Name: ident.RouteName(s), PathPrefix: "/" + string(s), Service: s, Class: model.Action,
			TimeoutMillis: timeout, MaxAttempts: 3, HedgeAfterMillis: -1,
		}
		if i > 0 {
			r.Class, r.Idempotent = model.Browse, true
		}
		c.Rules.Routes = append(c.Rules.Routes, r)
	}
	return c
}

// Reader pauses the region's reader with SIGSTOP until another node has taken the
// lease and brought a release that only the source had, and continues it.
func Reader(t *Trial) error {
	holder, err := t.Fleet.leaseHolder()
	if err != nil {
		return err
	}
	if err := t.Fleet.Signal(holder, syscall.SIGSTOP); err != nil {
		return err
	}
	fmt.Fprintf(t.W, "node-%d, the reader, paused\n", holder+1)
	began := time.Now()
	s := &plat.Submitter{Store: t.Fleet.platform, Clock: clock.NewSystem()}
	out, err := s.Submit(context.Background(), order.Edit{
		ID: "trial-reader", Base: 1, Operator: "trial",
		Configuration: Configuration(t.Fleet.Domains, t.Fleet.Services, 2500),
	})
	if err != nil {
		return err
	}
	if err := t.Fleet.awaitVersion(out.Version, holder); err != nil {
		return err
	}
	fmt.Fprintf(t.W, "version %d in force on the others %.1f s after the pause began\n", out.Version, time.Since(began).Seconds())
	if err := t.Fleet.Signal(holder, syscall.SIGCONT); err != nil {
		return err
	}
	if err := t.Fleet.awaitVersion(out.Version); err != nil {
		return err
	}
	return t.Fleet.AwaitReady(readyTimeout, t.all(), t.Fleet.Nodes, t.Fleet.Targets)
}

// leaseHolder returns the node that holds the region's lease.
func (f *Fleet) leaseHolder() (int, error) {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		for i, p := range f.nodes {
			if s, err := f.Status(i); err == nil && s.Lease.Holder == p.name {
				return i, nil
			}
		}
		time.Sleep(pollPeriod)
	}
	return 0, errNotReady
}

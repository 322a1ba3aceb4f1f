package node

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryrail/core/ident"
	"hickoryrail/core/model"
	"hickoryrail/core/report"
	"hickoryrail/core/result"
	"hickoryrail/io/admin"
	"hickoryrail/io/plat"
)

type (
	// fakeDepartures is a fake of the platform's departure rows. Its nodes share one row.
	fakeDepartures struct {
		// mu guards the fields below.
		mu       sync.Mutex
		row      report.Departure
		revision ident.Revision
		// down makes all calls fail. losesAnswers makes writes take effect and fail.
		down, losesAnswers bool
		writes             int
	}

	// fakeProber finds the target of targetReport at all addresses while it is healthy.
	fakeProber struct {
		healthy atomic.Bool
	}
)

func (f *fakeDepartures) ReadDeparture(context.Context, ident.NodeID) (report.Departure, ident.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return report.Departure{}, 0, plat.ErrNotFound
	}
	return f.row, f.revision, nil
}

func (f *fakeDepartures) WriteDeparture(_ context.Context, _ ident.NodeID, d report.Departure, ifRevision ident.Revision) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return plat.ErrNotFound
	}
	if ifRevision != f.revision {
		return plat.ErrConflict
	}
	f.row = d
	f.revision++
	f.writes++
	if f.losesAnswers {
		return result.NewError(result.MayHaveRun, "answer lost", plat.ErrNotFound)
	}
	return nil
}

// set changes the state of the rows.
func (f *fakeDepartures) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// holds reports whether the row holds a departure.
func (f *fakeDepartures) holds(d report.Departure) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.row == d
}

func (p *fakeProber) Probe(context.Context, string, string) (admin.Report, error) {
	if !p.healthy.Load() {
		return admin.Report{}, errors.New("target is not healthy")
	}
	return admin.Report{Status: report.Status{Target: "t"}, Announcement: admin.Announcement{Target: "t"}, Slots: 2}, nil
}

// leavingReport returns a report that the target of targetReport leaves.
func leavingReport(id ident.TargetID) admin.Report {
	return admin.Report{Status: report.Status{Target: id, StartedAt: 1, Leaving: true}}
}

// stopNode stops a node.
func stopNode(t *testing.T, n *Node) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := n.Stop(ctx); err != nil {
		t.Fatal(err)
	}
}

// TestLateReportAfterRestart guards against a late report that puts a target in service
// which had drained or left before its node was restarted, and against a successor that
// gets no requests.
func TestLateReportAfterRestart(t *testing.T) {
	draining := targetReport("t", "127.0.0.1:9", 3)
	draining.Draining = true
	for name, departure := range map[string]admin.Report{"left": leavingReport("t"), "drained": draining} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newFakePlatform(t)
			n, _ := h.start(t, "a")
			is.NoErr(h.controls[0].Report(targetReport("t", "127.0.0.1:9", 1)))
			await(t, "the target", func() bool { return n.RoutableTargets() == 1 })
			is.NoErr(h.controls[0].Report(departure))
			stopNode(t, n)

			n, _ = h.start(t, "a")
			await(t, "the release", n.Ready)
			_ = h.controls[1].Report(targetReport("t", "127.0.0.1:9", 2)) // may be refused
			is.Equal(n.RoutableTargets(), 0)
			is.NoErr(h.controls[1].Report(departure)) // repeated
			successor := targetReport("t", "127.0.0.1:9", 1)
			successor.StartedAt++
			is.NoErr(h.controls[1].Report(successor))
			await(t, "the successor", func() bool { return n.RoutableTargets() == 1 })
			stopNode(t, n)
		})
	}
}

// withHealthPath returns a release whose services have health checks.
func withHealthPath(t *testing.T, r model.Release) model.Release {
	t.Helper()
	c := r.Configuration
	c.Inventory.Services = append([]model.Service(nil), c.Inventory.Services...)
	for i := range c.Inventory.Services {
		c.Inventory.Services[i].HealthPath = "/healthz"
	}
	out, err := model.NewRelease(r.Version, "e", c)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// TestStartWithoutDepartures guards against a late report that starts a target while a
// restarted node cannot read the departures, and against a healthy target that waits for
// them. A departure that is read later drains a target whose health check was wrong.
func TestStartWithoutDepartures(t *testing.T) {
	is := is.New(t)
	h := newFakePlatform(t)
	p := &fakeProber{}
	h.release, h.prober = withHealthPath(t, h.release), p
	h.departures.row, h.departures.revision, h.departures.down = report.Departure{Target: "t", StartedAt: 1}, 1, true
	n, _ := h.start(t, "a")
	await(t, "the release", n.Ready)
	is.True(errors.Is(h.controls[0].Report(targetReport("t", "127.0.0.1:9", 2)), errDeparturesUnread))
	is.Equal(n.RoutableTargets(), 0)
	p.healthy.Store(true)
	await(t, "the healthy target", func() bool { return n.RoutableTargets() == 1 })
	is.NoErr(h.controls[0].Report(targetReport("t", "127.0.0.1:9", 2)))
	is.Equal(n.RoutableTargets(), 1)
	h.departures.set(func() { h.departures.down = false })
	await(t, "the departure", func() bool { return n.RoutableTargets() == 0 })
	stopNode(t, n)
}

// TestStartWithoutHealthPath guards against a target that gets no requests because a
// restarted node can neither read the departures nor ask for its health, and against a
// departed one that goes on getting them once the departures are read.
func TestStartWithoutHealthPath(t *testing.T) {
	is := is.New(t)
	h := newFakePlatform(t)
	h.prober = &fakeProber{}
	h.departures.row, h.departures.revision, h.departures.down = report.Departure{Target: "t", StartedAt: 1}, 1, true
	n, _ := h.start(t, "a")
	await(t, "the release", n.Ready)
	began := time.Now()
	is.NoErr(h.controls[0].Report(targetReport("t", "127.0.0.1:9", 2)))
	is.True(time.Since(began) < time.Second) // the target waits 1 s
	is.Equal(n.RoutableTargets(), 1)
	h.departures.set(func() { h.departures.down = false })
	await(t, "the departure", func() bool { return n.RoutableTargets() == 0 })
	stopNode(t, n)
}

// TestDepartureIsKept guards against a departure that is acknowledged and not kept, because
// the platform did not answer, lost its answer or was restored from an older copy, and
// against a target that gets requests meanwhile.
func TestDepartureIsKept(t *testing.T) {
	is := is.New(t)
	h := newFakePlatform(t)
	rows := h.departures
	left := report.Departure{Target: "t", StartedAt: 1}
	n, _ := h.start(t, "a")
	is.NoErr(h.controls[0].Report(targetReport("t", "127.0.0.1:9", 1)))
	rows.set(func() { rows.down = true })
	began := time.Now()
	is.True(errors.Is(h.controls[0].Report(leavingReport("t")), errDepartureUnsaved))
	is.True(time.Since(began) < time.Second)                                          // the target waits 1 s
	is.True(errors.Is(h.controls[0].Report(leavingReport("t")), errDepartureUnsaved)) // repeated
	is.Equal(n.RoutableTargets(), 0)
	rows.set(func() { rows.down, rows.losesAnswers = false, true })
	await(t, "the departure", func() bool { return rows.holds(left) })
	rows.set(func() { rows.losesAnswers = false })
	is.NoErr(h.controls[0].Report(leavingReport("t"))) // repeated
	stopNode(t, n)
	is.Equal(rows.writes, 1)

	n, _ = h.start(t, "a")
	await(t, "the release", n.Ready)
	rows.set(func() { rows.row, rows.revision = report.Departure{}, 0 })
	h.change(func() { h.position.Era++ })
	h.publish(t)
	await(t, "the departure after the restore", func() bool { return rows.holds(left) })
	stopNode(t, n)
}

// TestDepartureOfSuccessor guards against a departure that replaces that of a later target:
// a write whose answer was lost may be performed late.
func TestDepartureOfSuccessor(t *testing.T) {
	is := is.New(t)
	h := newFakePlatform(t)
	rows := h.departures
	n, _ := h.start(t, "a")
	is.NoErr(h.controls[0].Report(leavingReport("t")))
	first := rows.row
	second := leavingReport("u")
	second.StartedAt++
	is.NoErr(h.controls[0].Report(second))
	later := report.Departure{Target: "u", StartedAt: 2}
	is.True(rows.holds(later))
	is.True(errors.Is(rows.WriteDeparture(t.Context(), "a", first, 0), plat.ErrConflict)) // the late write
	stopNode(t, n)
	is.True(rows.holds(later))
}

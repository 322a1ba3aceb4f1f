package procs

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/io/admin"
	"hickoryrail/io/bench"
)

const (
	// window is the time of the measurement.
	window = 10 * time.Second
	// releases is the number of releases whose convergence is measured.
	releases = 3
	// fleetSize is the size to which the lines are extended.
	fleetSize = 790
)

// cost is what one fleet size costs per node.
type cost struct {
	nodes int
	// sent is in control bytes per second, cpu in percent of a core, and
	// resident in megabytes; each is a mean over the nodes.
	sent, cpu, resident float64
	// reads and writes are the source's per second.
	reads, writes float64
	// convergence is the longest of the releases.
	convergence clock.Millis
	// perRelease is the control bytes per node and release.
	perRelease float64
}

// Cost measures idle node processes at each fleet size, once they have settled for
// a while after their start: control bytes, processor
// time, memory, the load on the source and the convergence time.
func Cost(ctx context.Context, sizes []int, settle time.Duration, fleet func(nodes int) *Fleet) (*bench.Table, error) {
	out := bench.NewTable(
		fmt.Sprintf("idle node processes, %s after the last became ready, %s window, mean per node; the last row extends the lines to %d", settle, window, fleetSize),
		"nodes", "control B/s sent", "CPU % of a core", "resident MB", "source reads/s", "source writes/s",
		"convergence ms, longest of 3", "control B per node and release")
	var costs []cost
	for _, n := range sizes {
		c, err := costOf(ctx, settle, fleet(n))
		if err != nil {
			return nil, fmt.Errorf("%d nodes: %w", n, err)
		}
		costs = append(costs, c)
		out.Add(c.nodes, c.sent, c.cpu, c.resident, c.reads, c.writes, float64(c.convergence), c.perRelease)
	}
	addFits(out, costs)
	return out, nil
}

// addFits appends the slope, the residual and the extension of each column.
func addFits(out *bench.Table, costs []cost) {
	columns := []func(c cost) float64{
		func(c cost) float64 { return c.sent }, func(c cost) float64 { return c.cpu },
		func(c cost) float64 { return c.resident }, func(c cost) float64 { return c.reads },
		func(c cost) float64 { return c.writes }, func(c cost) float64 { return float64(c.convergence) },
		func(c cost) float64 { return c.perRelease },
	}
	slopes, residuals, extended := []any{"slope per node"}, []any{"residual"}, []any{fleetSize}
	for _, column := range columns {
		var xs, ys []float64
		for _, c := range costs {
			xs, ys = append(xs, float64(c.nodes)), append(ys, column(c))
		}
		f := bench.NewFit(xs, ys)
		slopes, residuals = append(slopes, f.Slope), append(residuals, f.Residual)
		extended = append(extended, f.At(fleetSize))
	}
	out.Add(slopes...)
	out.Add(residuals...)
	out.Add(extended...)
}

// costOf starts a fleet, measures it and stops it.
func costOf(ctx context.Context, settle time.Duration, f *Fleet) (c cost, err error) {
	defer func() {
		if stopped := f.Stop(); err == nil {
			err = stopped
		}
	}()
	if err := f.Start(ctx); err != nil {
		return c, err
	}
	if err := f.awaitServers(readyTimeout); err != nil {
		return c, err
	}
	client, err := f.Operator(0)
	if err != nil {
		return c, err
	}
	t := &Trial{Fleet: f, client: client}
	if _, err := t.Publish(ctx, 0, 1000); err != nil {
		return c, err
	}
	if err := f.AwaitReady(2*readyTimeout, t.all(), f.Nodes, f.Targets); err != nil {
		return c, err
	}
	time.Sleep(settle)
	c.nodes = f.Nodes
	if err := c.measureIdle(f); err != nil {
		return c, err
	}
	return c, c.measureReleases(ctx, t)
}

// measureIdle measures a fleet in which nothing changes.
func (c *cost) measureIdle(f *Fleet) error {
	before, err := f.usages()
	if err != nil {
		return err
	}
	source := f.platform.Counts()
	began := time.Now()
	time.Sleep(window)
	after, err := f.usages()
	if err != nil {
		return err
	}
	seconds, n := time.Since(began).Seconds(), float64(f.Nodes)
	for i := range after {
		c.sent += float64(after[i].ControlSent-before[i].ControlSent) / seconds / n
		c.cpu += float64(after[i].CPU-before[i].CPU) / 1000 / seconds / n * 100
		c.resident += float64(after[i].Resident) / 1e6 / n
	}
	now := f.platform.Counts()
	c.reads = float64(now.RowReads+now.RowLists+now.ObjectReads-source.RowReads-source.RowLists-source.ObjectReads) / seconds
	c.writes = float64(now.RowWrites+now.ObjectWrites-source.RowWrites-source.ObjectWrites) / seconds
	return nil
}

// measureReleases publishes releases and reads from the logs when each was put in
// force.
func (c *cost) measureReleases(ctx context.Context, t *Trial) error {
	before, err := t.Fleet.usages()
	if err != nil {
		return err
	}
	accepted := make(map[ident.Version]clock.Millis)
	for base := ident.Version(1); base <= releases; base++ {
		out, err := t.Publish(ctx, base, 1000+clock.Millis(base))
		if err != nil {
			return err
		}
		if out.State != admin.Accepted {
			return fmt.Errorf("edit ended as %s: %s", out.State, out.Reason)
		}
		accepted[out.Version] = clock.FromTime(time.Now())
		if err := t.Fleet.awaitVersion(out.Version); err != nil {
			return err
		}
	}
	after, err := t.Fleet.usages()
	if err != nil {
		return err
	}
	for i := range after {
		c.perRelease += float64(after[i].ControlSent-before[i].ControlSent) / releases / float64(t.Fleet.Nodes)
	}
	for v, at := range accepted {
		last, err := t.Fleet.lastInForce(v)
		if err != nil {
			return err
		}
		c.convergence = max(c.convergence, last-at)
	}
	return nil
}

// awaitVersion waits until every node but those in without has a version in force.
func (f *Fleet) awaitVersion(v ident.Version, without ...int) error {
	deadline := time.Now().Add(readyTimeout)
	for i := range f.nodes {
		if slices.Contains(without, i) {
			continue
		}
		for {
			if s, err := f.Status(i); err == nil && s.Version >= v {
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

// usages returns the usage of every node.
func (f *Fleet) usages() ([]Usage, error) {
	out := make([]Usage, len(f.nodes))
	for i := range f.nodes {
		u, err := f.Usage(i)
		if err != nil {
			return nil, err
		}
		out[i] = u
	}
	return out, nil
}

// logLine is a line of the decision log of a node.
type logLine struct {
	Fields struct {
		At      clock.Millis
		Kind    string
		Version ident.Version
	} `json:"fields"`
}

// lastInForce returns when the last node put a version, or a later one, in force.
func (f *Fleet) lastInForce(v ident.Version) (clock.Millis, error) {
	times := make([]clock.Millis, 0, len(f.nodes))
	for _, p := range f.nodes {
		body, err := os.ReadFile(filepath.Join(f.directory, string(p.name)+".log"))
		if err != nil {
			return 0, err
		}
		lines := bufio.NewScanner(bytes.NewReader(body))
		for lines.Scan() {
			var l logLine
			if json.Unmarshal(lines.Bytes(), &l) == nil && l.Fields.Kind == "Release" && l.Fields.Version >= v {
				times = append(times, l.Fields.At)
				break
			}
		}
	}
	if len(times) < len(f.nodes) {
		return 0, fmt.Errorf("version %d is in the logs of %d of %d nodes", v, len(times), len(f.nodes))
	}
	return slices.Max(times), nil
}

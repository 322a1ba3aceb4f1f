package logs

import (
	"context"
	"errors"
	"sync"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"hickoryrail/core/clock"
	"hickoryrail/core/result"
)

const (
	// maxBatch bounds the decisions that Run takes from the ring at once.
	maxBatch = 256
	// reasonOmitted is the reason of the line that reports omitted lines.
	reasonOmitted = "log is bounded; lines were left out"
)

// DecisionLog is a Sink that writes each decision as one structured line. Record copies
// the decision into a ring buffer, from which Run writes it. Unless PerSecond is set, no
// line is lost: Record waits while the ring is full, and writes the line itself once Run
// has ended.
type DecisionLog struct {
	// PerSecond, if above 0, bounds the lines per second. Record then never waits: it
	// omits lines above the bound and lines for which the ring has no room, and a later
	// line reports how many were omitted. Set it before Run.
	PerSecond int

	filter Filter
	logger *log.Logger

	mu sync.Mutex
	// notEmpty and notFull signal changes of count, stopping and stopped. They use mu.
	notEmpty sync.Cond
	notFull  sync.Cond
	// ring holds count decisions from index head on, in the order of the calls of
	// Record.
	ring  []Decision
	head  int
	count int
	// waiting is true if Run waits for a decision and no Record has signaled it yet.
	waiting bool
	// stopping is true once the context of Run has ended.
	stopping bool
	// stopped is true once the context of Run has ended and the ring is empty.
	stopped bool
	// inSecond is the number of lines in the current second, which is second.
	// unreported is the number of omitted lines that no line has reported yet.
	second     int64
	inSecond   int
	unreported int
	// omitted is the number of all omitted lines.
	omitted uint64
	// recorded is the number of decisions that were logged, and waits the number of
	// those that waited because the ring was full.
	recorded, waits uint64
}

// NewDecisionLog returns a log with a ring for capacity decisions, at least one. It
// writes the decisions that pass filter through the handler of logger, whatever the
// level of logger is.
func NewDecisionLog(logger *log.Logger, filter Filter, capacity int) *DecisionLog {
	l := &DecisionLog{
		filter: filter,
		logger: &log.Logger{Handler: logger.Handler, Level: log.InfoLevel},
		ring:   make([]Decision, max(capacity, 1)),
	}
	l.notEmpty.L, l.notFull.L = &l.mu, &l.mu
	return l
}

// Register registers the log's counters.
func (l *DecisionLog) Register(r prometheus.Registerer) error {
	count := func(name, help string, n *uint64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "hickoryrail_" + name, Help: help}, func() float64 {
			l.mu.Lock()
			defer l.mu.Unlock()
			return float64(*n)
		})
	}
	return errors.Join(
		r.Register(count("decisions_omitted_total", "Decisions that were left out of the log.", &l.omitted)),
		r.Register(count("decisions_total", "Decisions that were logged.", &l.recorded)),
		r.Register(count("decision_waits_total", "Decisions that waited because the log's ring was full.", &l.waits)),
	)
}

// Record copies d into the ring. It waits while the ring is full, so Run must be running
// before more decisions than the capacity are recorded.
func (l *DecisionLog) Record(d Decision) {
	if !l.filter.Passes(&d) {
		return
	}
	l.mu.Lock()
	if l.PerSecond > 0 && !l.allow(&d) {
		l.mu.Unlock()
		return
	}
	if l.count == len(l.ring) && !l.stopped {
		l.waits++
	}
	for l.count == len(l.ring) && !l.stopped {
		l.notFull.Wait()
	}
	if l.stopped {
		l.recorded++
		l.mu.Unlock()
		l.write(&d)
		return
	}
	l.push(d)
	wake := l.waiting
	l.waiting = false
	l.mu.Unlock()
	if wake {
		l.notEmpty.Signal()
	}
}

// push adds a decision to the ring, which must not be full. The caller holds mu.
func (l *DecisionLog) push(d Decision) {
	i := l.head + l.count
	if i >= len(l.ring) {
		i -= len(l.ring)
	}
	l.ring[i] = d
	l.count++
	l.recorded++
}

// allow reports whether a line is within the bound. If so, and unless Run has ended, it
// first adds a line that reports the lines omitted before. The caller holds mu.
func (l *DecisionLog) allow(d *Decision) bool {
	if second := int64(d.At / clock.Second); second != l.second {
		l.second, l.inSecond = second, 0
	}
	if l.inSecond >= l.PerSecond || l.count+2 > len(l.ring) && !l.stopped {
		l.unreported++
		l.omitted++
		return false
	}
	l.inSecond++
	if l.unreported > 0 && !l.stopped {
		l.push(Decision{At: d.At, Kind: Omitted, Count: l.unreported, Reason: reasonOmitted})
		l.unreported = 0
	}
	return true
}

// Run writes decisions until ctx ends, and then those that remain in the ring. It may be
// called only once.
func (l *DecisionLog) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, l.stop)
	defer stop()
	batch := make([]Decision, 0, maxBatch)
	for {
		batch = l.takeBatch(batch[:0])
		if len(batch) == 0 {
			return nil
		}
		for i := range batch {
			l.write(&batch[i])
		}
	}
}

// stop makes takeBatch return without waiting.
func (l *DecisionLog) stop() {
	l.mu.Lock()
	l.stopping = true
	l.mu.Unlock()
	l.notEmpty.Signal()
}

// takeBatch moves decisions from the ring to batch, up to its capacity. It waits until
// there is one; an empty batch means that the log has stopped.
func (l *DecisionLog) takeBatch(batch []Decision) []Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.count == 0 && !l.stopping {
		l.waiting = true
		l.notEmpty.Wait()
	}
	for l.count > 0 && len(batch) < cap(batch) {
		batch = append(batch, l.ring[l.head])
		l.head = (l.head + 1) % len(l.ring)
		l.count--
	}
	l.stopped = len(batch) == 0
	l.notFull.Broadcast()
	return batch
}

// write writes one line to the logger.
func (l *DecisionLog) write(d *Decision) {
	l.logger.WithFields(d.fields()).Info("decision")
}

// fields returns the fields of d that are set.
func (d *Decision) fields() log.Fields {
	f := log.Fields{"At": float64(d.At), "Kind": d.Kind.String(), "Reason": d.Reason}
	setField(f, "Request", d.Request)
	setField(f, "Route", d.Route)
	setField(f, "Service", d.Service)
	setField(f, "Target", d.Target)
	setField(f, "Node", d.Node)
	setField(f, "Version", d.Version)
	setField(f, "Source", d.Source)
	setField(f, "Era", d.Era)
	setField(f, "Revision", d.Revision)
	setField(f, "Attempt", d.Attempt)
	setField(f, "Status", d.Status)
	setField(f, "Count", d.Count)
	setField(f, "WaitMillis", float64(d.Wait))
	setField(f, "TookMillis", float64(d.Took))
	setField(f, "LimitPerSecond", d.LimitPerSecond)
	setField(f, "Team", d.Team)
	if d.HasLoad {
		f["Free"], f["Queued"] = d.Free, d.Queued
	}
	if (d.Kind <= Retry || d.Kind == Answer) && (d.Kind == Retry || d.Kind == Answer || d.Verdict != result.MayHaveRun) {
		f["Verdict"] = d.Verdict.String()
	}
	return f
}

// setField sets a field unless its value is the zero value.
func setField[T comparable](f log.Fields, name string, v T) {
	var zero T
	if v != zero {
		f[name] = v
	}
}

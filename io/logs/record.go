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
	// maxBatch bounds the decisions that the writer copies out of the ring at once.
	maxBatch = 256
	// reasonOmitted is the reason for lines that were left out.
	reasonOmitted = "log is bounded; lines were left out"
)

// DecisionLog is a Sink that writes each decision as one structured line. Record
// copies the decision into a ring; Run writes from it. No line is lost: Record
// waits while the ring is full, and writes directly once Run has ended.
type DecisionLog struct {
	// PerSecond, if above 0, bounds the lines of a second. Record then never waits:
	// lines beyond it, and lines that find the ring full, are counted, and one
	// line tells how many were left out. Set it before Run.
	PerSecond int

	filter Filter
	logger *log.Logger

	mu sync.Mutex
	// notEmpty and notFull are conditions on count and stopped under mu.
	notEmpty sync.Cond
	notFull  sync.Cond
	// ring holds count decisions from index head on, in order of Record.
	ring  []Decision
	head  int
	count int
	// waiting is true while Run waits for a decision.
	waiting bool
	// stopping is true once the context of Run has ended.
	stopping bool
	// stopped is true once Run has emptied the ring for the last time.
	stopped bool
	// second and inSecond count the lines of the present second, and omitted
	// those that were left out since the last line that told of them.
	second   int64
	inSecond int
	omitted  int
	// dropped counts all lines that were left out.
	dropped uint64
	// recorded and waits count the decisions that passed the filter and those of
	// them that found the ring full.
	recorded, waits uint64
}

// NewDecisionLog returns a log with a ring of capacity decisions, at least one,
// which writes the decisions that pass filter through the handler of logger. The
// level of logger does not count; filter alone decides.
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
		r.Register(count("decisions_omitted_total", "Decisions that were left out of the log.", &l.dropped)),
		r.Register(count("decisions_total", "Decisions that were logged.", &l.recorded)),
		r.Register(count("decision_waits_total", "Decisions that waited because the log's ring was full.", &l.waits)),
	)
}

// Record copies d into the ring. It waits while the ring is full, so Run must be
// running before more decisions than fit are recorded.
func (l *DecisionLog) Record(d Decision) {
	if !l.filter.Passes(&d) {
		return
	}
	l.mu.Lock()
	if l.PerSecond > 0 && !l.admit(&d) {
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
	l.put(d)
	wake := l.waiting
	l.waiting = false
	l.mu.Unlock()
	if wake {
		l.notEmpty.Signal()
	}
}

// put adds a decision to the ring, which is not full. The caller holds mu.
func (l *DecisionLog) put(d Decision) {
	i := l.head + l.count
	if i >= len(l.ring) {
		i -= len(l.ring)
	}
	l.ring[i] = d
	l.count++
	l.recorded++
}

// admit reports whether a line is within the bound, and tells of those that were
// left out before it. The caller holds mu.
func (l *DecisionLog) admit(d *Decision) bool {
	if second := int64(d.At / clock.Second); second != l.second {
		l.second, l.inSecond = second, 0
	}
	if l.inSecond >= l.PerSecond || l.count+2 > len(l.ring) && !l.stopped {
		l.omitted++
		l.dropped++
		return false
	}
	l.inSecond++
	if l.omitted > 0 && !l.stopped {
		l.put(Decision{At: d.At, Kind: Omitted, Count: l.omitted, Reason: reasonOmitted})
		l.omitted = 0
	}
	return true
}

// Run writes decisions until ctx ends and then those that are left in the ring.
// It may run only once.
func (l *DecisionLog) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, l.stop)
	defer stop()
	batch := make([]Decision, 0, maxBatch)
	for {
		batch = l.take(batch[:0])
		if len(batch) == 0 {
			return nil
		}
		for i := range batch {
			l.write(&batch[i])
		}
	}
}

// stop makes take return without waiting.
func (l *DecisionLog) stop() {
	l.mu.Lock()
	l.stopping = true
	l.mu.Unlock()
	l.notEmpty.Signal()
}

// take appends decisions from the ring to batch, up to its capacity. It waits for
// one; an empty batch means that the log has stopped.
func (l *DecisionLog) take(batch []Decision) []Decision {
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

// write writes one line.
func (l *DecisionLog) write(d *Decision) {
	l.logger.WithFields(d.fields()).Info("decision")
}

// fields returns the fields of d that are set.
func (d *Decision) fields() log.Fields {
	f := log.Fields{"At": float64(d.At), "Kind": d.Kind.String(), "Reason": d.Reason}
	put(f, "Request", d.Request)
	put(f, "Route", d.Route)
	put(f, "Service", d.Service)
	put(f, "Target", d.Target)
	put(f, "Node", d.Node)
	put(f, "Version", d.Version)
	put(f, "Attempt", d.Attempt)
	put(f, "Status", d.Status)
	put(f, "Count", d.Count)
	put(f, "WaitMillis", float64(d.Wait))
	put(f, "TookMillis", float64(d.Took))
	if d.HasLoad {
		f["Free"], f["Queued"] = d.Free, d.Queued
	}
	if (d.Kind <= Retry || d.Kind == Answer) && (d.Kind == Retry || d.Kind == Answer || d.Verdict != result.MayHaveRun) {
		f["Verdict"] = d.Verdict.String()
	}
	return f
}

// put sets a field unless its value is the zero value.
func put[T comparable](f log.Fields, name string, v T) {
	var zero T
	if v != zero {
		f[name] = v
	}
}

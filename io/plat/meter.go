package plat

import (
	"context"
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/result"
)

const (
	// conflictLabel is the outcome of a write whose condition failed, which is not a
	// failure of the platform.
	conflictLabel = "Conflict"
	// firstBucketSeconds and bucketCount define histogram buckets from 0.5 ms to 4 s
	// in powers of two.
	firstBucketSeconds = 0.0005
	bucketCount        = 14
)

// Meter is a Store that forwards calls to another Store and records metrics of
// them. Call Open before the first call.
type Meter struct {
	Store Store
	Clock clock.Clock
	// Registry is where Open registers the metrics.
	Registry prometheus.Registerer

	calls   *prometheus.CounterVec
	bytes   *prometheus.CounterVec
	seconds *prometheus.HistogramVec
}

var _ Store = (*Meter)(nil)

// Open registers the metrics.
func (m *Meter) Open() error {
	m.calls = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "hickoryrail_platform_calls_total",
		Help: "Calls to the platform by kind and outcome: Ran, Conflict, NotRun or MayHaveRun.",
	}, []string{"call", "outcome"})
	m.bytes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "hickoryrail_platform_body_bytes_total",
		Help: "Bytes of values and objects that were sent to and received from the platform.",
	}, []string{"direction"})
	m.seconds = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "hickoryrail_platform_call_seconds",
		Help:    "Durations of calls to the platform by kind.",
		Buckets: prometheus.ExponentialBuckets(firstBucketSeconds, 2, bucketCount),
	}, []string{"call"})
	return errors.Join(m.Registry.Register(m.calls), m.Registry.Register(m.bytes), m.Registry.Register(m.seconds))
}

// record updates the metrics for one call that began at start.
func (m *Meter) record(call string, start clock.Millis, err error, sent, received int) {
	outcome := result.Of(err).String()
	switch {
	case errors.Is(err, ErrConflict):
		outcome = conflictLabel
	case errors.Is(err, ErrNotFound):
		outcome = result.Ran.String()
	}
	m.calls.WithLabelValues(call, outcome).Inc()
	m.bytes.WithLabelValues("sent").Add(float64(sent))
	m.bytes.WithLabelValues("received").Add(float64(received))
	m.seconds.WithLabelValues(call).Observe((m.Clock.Now() - start).Duration().Seconds())
}

// ReadRow makes a strongly consistent read of one row.
func (m *Meter) ReadRow(ctx context.Context, key string) (Row, error) {
	start := m.Clock.Now()
	row, err := m.Store.ReadRow(ctx, key)
	m.record("ReadRow", start, err, 0, len(row.Value))
	return row, err
}

// ListRows returns the rows whose keys start with prefix, in order of key.
func (m *Meter) ListRows(ctx context.Context, prefix string) ([]Row, error) {
	start := m.Clock.Now()
	rows, err := m.Store.ListRows(ctx, prefix)
	received := 0
	for _, row := range rows {
		received += len(row.Value)
	}
	m.record("ListRows", start, err, 0, received)
	return rows, err
}

// WriteRow writes or deletes a row on condition that it has revision ifRevision.
func (m *Meter) WriteRow(ctx context.Context, key string, value []byte, ifRevision ident.Revision) (Row, error) {
	start := m.Clock.Now()
	row, err := m.Store.WriteRow(ctx, key, value, ifRevision)
	m.record("WriteRow", start, err, len(value), 0)
	return row, err
}

// PutObject stores an object and replaces an existing one of the same name.
func (m *Meter) PutObject(ctx context.Context, name string, body []byte) error {
	start := m.Clock.Now()
	err := m.Store.PutObject(ctx, name, body)
	m.record("PutObject", start, err, len(body), 0)
	return err
}

// GetObject returns an object, or ErrNotFound if it does not exist.
func (m *Meter) GetObject(ctx context.Context, name string) ([]byte, error) {
	start := m.Clock.Now()
	body, err := m.Store.GetObject(ctx, name)
	m.record("GetObject", start, err, 0, len(body))
	return body, err
}

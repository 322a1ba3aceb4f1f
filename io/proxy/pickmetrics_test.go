package proxy

import (
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"hickoryrail/core/route"
)

// TestPicksAreCounted guards against a reason of the picker that is not counted, and
// against counters that a choice allocates or adds.
func TestPicksAreCounted(t *testing.T) {
	is := is.New(t)
	counters, collector := newPickCounters()
	registry := prometheus.NewRegistry()
	is.NoErr(registry.Register(collector))
	for _, reason := range route.Reasons() {
		counters.count(route.Choice{Reason: reason})
	}
	is.Equal(testing.AllocsPerRun(100, func() { counters.count(route.Choice{Reason: "other"}) }), 0.0)
	families, err := registry.Gather()
	is.NoErr(err)
	is.Equal(len(families), 1)
	is.Equal(len(families[0].GetMetric()), len(route.Reasons()))
	for _, m := range families[0].GetMetric() {
		is.Equal(m.GetCounter().GetValue(), 1.0)
	}
}

package proxy

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"hickoryrail/core/option"
	"hickoryrail/core/report"
	"hickoryrail/core/route"
	"hickoryrail/io/logs"
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

// TestIngressPassesStatedPace guards against an ingress that ignores the paces and slots
// that targets state in their answers.
func TestIngressPassesStatedPace(t *testing.T) {
	is := is.New(t)
	in := newIngress(t, newFleet(t, 4, newFakeTarget(t), newFakeTarget(t), newFakeTarget(t)))
	sink := &decisionSink{}
	in.Log = sink
	in.Dialect.Notice = func(func(string) []byte) report.Notice {
		return report.Notice{Load: option.Some(report.TargetLoad{Slots: 4, Pace: option.Some(1.0)})}
	}
	for range 5 {
		resp, _, err := send(http.DefaultClient, in, "/order/x", "cartons=3")
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	sink.mu.Lock()
	defer sink.mu.Unlock()
	var reasons []string
	for _, d := range sink.decisions {
		if d.Kind == logs.Route && d.Target != "" {
			reasons = append(reasons, d.Reason)
		}
	}
	expected := route.ReasonExpected
	// Nothing is stated before the first answer.
	is.Equal(reasons, []string{route.ReasonScore, expected, expected, expected, expected})
}

package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"hickoryrail/core/canary"
	"hickoryrail/core/ident"
	"hickoryrail/io/stats"
)

// rolloutCollector reports what this node has seen of the rollouts at each scrape.
type rolloutCollector struct {
	rollouts             *rollouts
	requests, bad, state *prometheus.Desc
}

// registerRollouts registers the metrics of rollouts.
func registerRollouts(registry prometheus.Registerer, r *rollouts) error {
	return stats.Register(registry, &rolloutCollector{
		rollouts: r,
		requests: prometheus.NewDesc("hickoryrail_rollout_requests_total",
			"Requests of this node that reached the targets of a version during the rollout of its service.", []string{"service", "version"}, nil),
		bad: prometheus.NewDesc("hickoryrail_rollout_failures_total",
			"Failures among the answers of the targets of a version during the rollout of its service.", []string{"service", "version"}, nil),
		state: prometheus.NewDesc("hickoryrail_rollout_state",
			"State of the latest rollout of a service: 0 pending, 1 running, 2 completed, 3 rolled back.", []string{"service"}, nil),
	})
}

// Describe implements prometheus.Collector.
func (c *rolloutCollector) Describe(out chan<- *prometheus.Desc) {
	out <- c.requests
	out <- c.bad
	out <- c.state
}

// Collect implements prometheus.Collector.
func (c *rolloutCollector) Collect(out chan<- prometheus.Metric) {
	c.rollouts.mu.Lock()
	defer c.rollouts.mu.Unlock()
	c.rollouts.node.Totals(func(name ident.ServiceName, p canary.Phase, old, new canary.Totals) {
		out <- prometheus.MustNewConstMetric(c.state, prometheus.GaugeValue, float64(p), string(name))
		for version, t := range map[string]canary.Totals{"old": old, "new": new} {
			out <- prometheus.MustNewConstMetric(c.requests, prometheus.CounterValue, float64(t.Requests), string(name), version)
			out <- prometheus.MustNewConstMetric(c.bad, prometheus.CounterValue, float64(t.Bad), string(name), version)
		}
	})
}

package node

import "github.com/prometheus/client_golang/prometheus"

// metrics are the node's own counters and gauges.
type metrics struct {
	version         prometheus.Gauge
	malformed       prometheus.Counter
	refusedReleases prometheus.Counter
	holdsLease      prometheus.Gauge
	sourceErrors    prometheus.Counter
	members         *prometheus.GaugeVec
}

// newMetrics registers the metrics.
func newMetrics(r prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		version: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "hickoryrail_release_version", Help: "Version of the release in force; 0 means none.",
		}),
		malformed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hickoryrail_control_malformed_total", Help: "Control messages that could not be encoded or decoded.",
		}),
		refusedReleases: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hickoryrail_releases_refused_total", Help: "Releases refused because they were not whole and valid.",
		}),
		holdsLease: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "hickoryrail_lease_held", Help: "1 while this node is the reader of its region.",
		}),
		sourceErrors: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hickoryrail_source_errors_total", Help: "Failed calls to the platform by the reader and at start.",
		}),
		members: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "hickoryrail_members", Help: "Known nodes by state.",
		}, []string{"state"}),
	}
	for _, c := range []prometheus.Collector{m.version, m.malformed, m.refusedReleases, m.holdsLease, m.sourceErrors, m.members} {
		if err := r.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

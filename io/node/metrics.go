package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"hickoryrail/core/clock"
	"hickoryrail/core/feed"
	"hickoryrail/core/ident"
	"hickoryrail/core/member"
	"hickoryrail/io/stats"
)

type (
	// metrics are the node's own counters and gauges.
	metrics struct {
		version          prometheus.Gauge
		versionSince     prometheus.Gauge
		fromStore        prometheus.Gauge
		malformedControl prometheus.Counter
		refusedReleases  prometheus.Counter
		holdsLease       prometheus.Gauge
		sourceErrors     prometheus.Counter
		sourceEra        prometheus.Gauge
		sourceRevision   prometheus.Gauge
		sourceAnsweredAt prometheus.Gauge
	}

	// memberCollector counts the known nodes by state at each scrape.
	memberCollector struct {
		fleet       *fleet
		description *prometheus.Desc
	}
)

// newMetrics creates the metrics.
func newMetrics() *metrics {
	return &metrics{
		version:          stats.Gauge("release_version", "Version of the release in force; 0 means none."),
		versionSince:     stats.Gauge("release_applied_timestamp_seconds", "Unix time at which the release in force was put in force."),
		fromStore:        stats.Gauge("release_from_store", "1 if the release in force was read from the store, 0 if a neighbour sent it."),
		malformedControl: stats.Counter("control_malformed_total", "Control messages that could not be encoded or decoded."),
		refusedReleases:  stats.Counter("releases_refused_total", "Releases refused because they were not whole and valid."),
		holdsLease:       stats.Gauge("lease_held", "1 while this node is the reader of its region."),
		sourceErrors:     stats.Counter("source_errors_total", "Failed calls to the platform by the reader and at start."),
		sourceEra:        stats.Gauge("source_era", "Era of the store in its last answer; it rises when the store is restored from an older copy. 0 means unknown."),
		sourceRevision:   stats.Gauge("source_revision", "Revision up to which the store was read."),
		sourceAnsweredAt: stats.Gauge("source_answered_timestamp_seconds", "Unix time of the store's last answer about releases."),
	}
}

// register registers the metrics and a collector that counts the members of f.
func (m *metrics) register(r prometheus.Registerer, f *fleet) error {
	members := &memberCollector{fleet: f, description: prometheus.NewDesc(
		"hickoryrail_members", "Known nodes by state.", []string{"state"}, nil)}
	return stats.Register(r, m.version, m.versionSince, m.fromStore, m.malformedControl, m.refusedReleases, m.holdsLease,
		m.sourceErrors, m.sourceEra, m.sourceRevision, m.sourceAnsweredAt, members)
}

// releaseApplied records the release that was put in force.
func (m *metrics) releaseApplied(v ident.Version, source string, now clock.Millis) {
	m.version.Set(float64(v))
	m.versionSince.Set(float64(now / clock.Second))
	m.fromStore.Set(0)
	if source == sourceStore {
		m.fromStore.Set(1)
	}
}

// sourceAnswered records an answer of the store about releases.
func (m *metrics) sourceAnswered(p feed.Position, now clock.Millis) {
	m.sourceEra.Set(float64(p.Era))
	m.sourceRevision.Set(float64(p.Revision))
	m.sourceAnsweredAt.Set(float64(now / clock.Second))
}

// Describe implements prometheus.Collector.
func (c *memberCollector) Describe(out chan<- *prometheus.Desc) {
	out <- c.description
}

// Collect implements prometheus.Collector. It sends the number of nodes in each state.
func (c *memberCollector) Collect(out chan<- prometheus.Metric) {
	var counts [member.Left + 1]int
	for _, r := range c.fleet.records() {
		counts[min(r.State, member.Left)]++
	}
	for state, n := range counts {
		out <- prometheus.MustNewConstMetric(c.description, prometheus.GaugeValue, float64(n), member.State(state).String())
	}
}

package frame

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"hickoryrail/io/stats"
)

// metrics holds the transport's counters.
type metrics struct {
	calls   *prometheus.CounterVec
	served  prometheus.Counter
	refused prometheus.Counter
	dropped prometheus.Counter
	lost    prometheus.Counter
	left    prometheus.Counter
	renewed prometheus.Counter
	// controlSent and controlReceived count the bytes of control frames.
	controlSent, controlReceived atomic.Uint64
}

// register creates the collectors and registers them with r, if there is one.
func (m *metrics) register(r prometheus.Registerer) error {
	m.calls = stats.Counters("peer_calls_total", "Calls to other nodes.", "verdict")
	m.served = stats.Counter("peer_served_total", "Calls of other nodes that were started.")
	m.refused = stats.Counter("peer_refused_total", "Calls of other nodes that were refused as not run.")
	m.dropped = stats.Counter("peer_control_dropped_total", "Control messages that were dropped.")
	m.lost = stats.Counter("peer_connections_lost_total", "Dialed connections that ended.")
	m.left = stats.Counter("peer_caller_left_total", "Calls that ended because their callers had left, before they were sent or started.")
	m.renewed = stats.Counter("peer_connections_renewed_total", "Dialed connections that were replaced because they may have been silent.")
	bytes := func(name, help string, n *atomic.Uint64) prometheus.Collector {
		return stats.CounterFunc(name, help, func() float64 { return float64(n.Load()) })
	}
	return stats.Register(
		r, m.calls, m.served, m.refused, m.dropped, m.lost, m.left, m.renewed,
		bytes("peer_control_bytes_sent_total", "Bytes of control frames sent.", &m.controlSent),
		bytes("peer_control_bytes_received_total", "Bytes of control frames received.", &m.controlReceived),
	)
}

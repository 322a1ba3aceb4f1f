package frame

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"hickoryrail/io/stats"
)

// metrics counts what the transport does.
type metrics struct {
	calls   *prometheus.CounterVec
	served  prometheus.Counter
	refused prometheus.Counter
	dropped prometheus.Counter
	lost    prometheus.Counter
	// controlSent and controlReceived count the bytes of control frames.
	controlSent, controlReceived atomic.Uint64
}

// open creates the collectors and registers them.
func (m *metrics) open(r prometheus.Registerer) error {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: stats.Namespace, Name: name, Help: help})
	}
	m.calls = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: stats.Namespace, Name: "peer_calls_total", Help: "Calls to other nodes.",
	}, []string{"verdict"})
	m.served = counter("peer_served_total", "Calls of other nodes that were started.")
	m.refused = counter("peer_refused_total", "Calls of other nodes that were refused as not run.")
	m.dropped = counter("peer_control_dropped_total", "Control messages that were dropped.")
	m.lost = counter("peer_connections_lost_total", "Dialed connections that ended.")
	if r == nil {
		return nil
	}
	bytes := func(name, help string, n *atomic.Uint64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: stats.Namespace, Name: name, Help: help},
			func() float64 { return float64(n.Load()) })
	}
	for _, c := range []prometheus.Collector{
		m.calls, m.served, m.refused, m.dropped, m.lost,
		bytes("peer_control_bytes_sent_total", "Bytes of control frames sent.", &m.controlSent),
		bytes("peer_control_bytes_received_total", "Bytes of control frames received.", &m.controlReceived),
	} {
		if err := r.Register(c); err != nil {
			return err
		}
	}
	return nil
}

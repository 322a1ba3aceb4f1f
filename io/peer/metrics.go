package peer

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"hickoryrail/core/ident"
	"hickoryrail/io/stats"
)

// packetOverhead is the size of the IPv4 and UDP headers of one packet.
const packetOverhead = 28

type (
	// Traffic is the number of bytes sent and received on control connections.
	Traffic struct {
		Sent, Received ident.Bytes
	}

	// metrics holds the transport's counters. mu guards open, the control connections
	// that are open, and closedTraffic, the traffic of those that were closed.
	metrics struct {
		dials, dialFailures, served, refused, panics prometheus.Counter
		dropped, discarded, stalled                  prometheus.Counter
		controlSent, controlReceived                 prometheus.Counter
		controlSentBytes, controlReceivedBytes       prometheus.Counter
		calls                                        *prometheus.CounterVec
		mu                                           sync.Mutex
		open                                         map[*connection]struct{}
		closedTraffic                                Traffic
	}
)

// ControlTraffic returns the bytes in UDP packets of all control connections so far,
// including the UDP and IPv4 headers.
func (t *Transport) ControlTraffic() Traffic {
	m := &t.metrics
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := m.closedTraffic
	for c := range m.open {
		sum = sum.add(trafficOf(c))
	}
	return sum
}

// add returns the sum of a and b.
func (a Traffic) add(b Traffic) Traffic {
	return Traffic{Sent: a.Sent + b.Sent, Received: a.Received + b.Received}
}

// trafficOf returns the traffic of one connection, including the packet headers.
func trafficOf(c *connection) Traffic {
	s := c.quic.ConnectionStats()
	return Traffic{
		Sent:     ident.Bytes(s.BytesSent + packetOverhead*s.PacketsSent),
		Received: ident.Bytes(s.BytesReceived + packetOverhead*s.PacketsReceived),
	}
}

// track includes an open control connection in the traffic.
func (m *metrics) track(c *connection) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open[c] = struct{}{}
}

// untrack replaces a control connection that closed by its final traffic.
func (m *metrics) untrack(c *connection) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.open, c)
	m.closedTraffic = m.closedTraffic.add(trafficOf(c))
}

// register creates the counters and registers them with the transport's registry, if
// there is one.
func (m *metrics) register(t *Transport) error {
	m.open = make(map[*connection]struct{})
	m.dials = stats.Counter("peer_dials_total", "Connections that were dialed.")
	m.dialFailures = stats.Counter("peer_dial_failures_total", "Dials that failed.")
	m.served = stats.Counter("peer_calls_served_total", "Calls of peers that were run.")
	m.refused = stats.Counter("peer_calls_refused_total", "Calls of peers that were refused as not run.")
	m.panics = stats.Counter("peer_call_panics_total", "Handlers that failed.")
	m.dropped = stats.Counter("peer_control_dropped_total", "Control messages that were dropped before they were sent.")
	m.discarded = stats.Counter("peer_control_discarded_total", "Control messages that did not arrive whole.")
	m.stalled = stats.Counter("peer_control_stalled_total", "Control connections that were replaced because they were silent.")
	m.controlSent = stats.Counter("peer_control_messages_sent_total", "Control messages sent.")
	m.controlReceived = stats.Counter("peer_control_messages_received_total", "Control messages received.")
	m.controlSentBytes = stats.Counter("peer_control_message_bytes_sent_total", "Bytes of control messages sent.")
	m.controlReceivedBytes = stats.Counter("peer_control_message_bytes_received_total", "Bytes of control messages received.")
	m.calls = stats.Counters("peer_calls_total", "Calls to peers by verdict.", "verdict")
	return stats.Register(
		t.Registry, m.dials, m.dialFailures, m.served, m.refused, m.panics, m.dropped, m.discarded, m.stalled,
		m.controlSent, m.controlReceived, m.controlSentBytes, m.controlReceivedBytes, m.calls,
		stats.CounterFunc("peer_control_bytes_sent_total", "Bytes in UDP packets of control connections sent, with headers.",
			func() float64 { return float64(t.ControlTraffic().Sent) }),
		stats.CounterFunc("peer_control_bytes_received_total", "Bytes in UDP packets of control connections received, with headers.",
			func() float64 { return float64(t.ControlTraffic().Received) }),
	)
}

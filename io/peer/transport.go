// Package peer provides the transport between nodes: QUIC with mutual TLS, one
// stream per call and one per control message.
package peer

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/quic-go/quic-go"
	"github.com/sourcegraph/conc"

	"hickoryrail/core/ident"
	"hickoryrail/io/keys"
)

const (
	// controlProtocol and callProtocol are the ALPN names of the two kinds of
	// connections, which are separate so that a large answer never delays a probe.
	controlProtocol = "hickoryrail-control/1"
	callProtocol    = "hickoryrail-call/1"

	// frameCall and frameEcho are the possible first bytes of a stream opened by a
	// caller.
	frameCall byte = 0
	frameEcho byte = 1

	// codeClosed closes a connection and does not indicate whether its calls ran.
	codeClosed = 0
	// codeNotRun indicates that no call on the stream or connection was run.
	codeNotRun = 1
	// codeCancelled indicates that one side, for a call the caller, cancelled the
	// stream or connection.
	codeCancelled = 2
	// codeFailed indicates that the handler failed after it was started.
	codeFailed = 3

	// sweepInterval is the interval between searches for idle connections.
	sweepInterval = time.Second
	// keepAliveDivisor divides the idle timeout into the keep-alive period of dialed
	// call connections, so that the timeout does not end a connection with a call in
	// flight.
	keepAliveDivisor = 3
)

type (
	// Transport connects a node with its peers. A peer is identified by the NodeID in
	// its certificate, never by the content of a message. The exported fields must
	// be set before Open.
	Transport struct {
		// Self is the node's own id; it must be the one in Identity.
		Self ident.NodeID
		// Listen is host:port; port 0 chooses a free one.
		Listen   string
		Identity keys.Identity
		// OnControl handles a received control message; it may be nil. It is called
		// from several goroutines and owns body.
		OnControl func(from ident.NodeID, body []byte)
		// OnCall returns the answer to a request that was received completely. It is
		// called from several goroutines and owns body. Its ctx ends when the caller
		// cancels the call or the connection is lost. If it is nil, all calls are
		// refused.
		OnCall func(ctx context.Context, from ident.NodeID, body []byte) []byte
		// OnEvent receives the events of dialed call connections; it may be nil. It
		// is called from several goroutines and must not block.
		OnEvent func(Event)
		// Registry registers the transport's metrics; it may be nil.
		Registry prometheus.Registerer
		Limits   Limits

		socket   *net.UDPConn
		quic     *quic.Transport
		listener *quic.Listener
		metrics  metrics
		// runCtx ends when the transport shuts down; it is nil before Open.
		runCtx    context.Context
		cancelRun context.CancelFunc
		group     conc.WaitGroup

		// mu guards what follows.
		mu sync.Mutex
		// draining is set once; calls of peers are refused afterwards.
		draining bool
		// closed is set once; nothing is dialed or accepted afterwards.
		closed bool
		// running counts the calls of peers that are in OnCall or writing their answer.
		running int
		nextID  ConnectionID
		// links holds the connection for new calls to each node. A link is removed
		// when its connection is retired, and the next call dials a new one.
		links map[ident.NodeID]*link
		// dialed holds every open call connection that this node dialed, and accepted
		// every open connection that a peer dialed.
		dialed   map[ConnectionID]*connection
		accepted map[*connection]struct{}
		// senders holds the sender of control messages to each node that has one.
		senders map[ident.NodeID]*sender
		// inbound holds the control connection of each node that was accepted last.
		inbound map[ident.NodeID]*connection
	}
)

var (
	// errClosed reports a call on a transport that is not open.
	errClosed = errors.New("transport is not open")
	// errWrongNode reports a peer whose certificate names another node.
	errWrongNode = errors.New("certificate names another node")
)

// Open binds the listener. Calls and control messages can be sent afterwards; those of
// peers are accepted once Run is called.
func (t *Transport) Open() error {
	if t.Identity.Node != t.Self {
		return fmt.Errorf("open transport of %s: %w: %s", t.Self, errWrongNode, t.Identity.Node)
	}
	t.Limits = t.Limits.withDefaults()
	t.links = make(map[ident.NodeID]*link)
	t.dialed = make(map[ConnectionID]*connection)
	t.accepted = make(map[*connection]struct{})
	t.senders = make(map[ident.NodeID]*sender)
	t.inbound = make(map[ident.NodeID]*connection)
	if err := t.metrics.register(t); err != nil {
		return fmt.Errorf("register transport metrics: %w", err)
	}
	address, err := net.ResolveUDPAddr("udp", t.Listen)
	if err != nil {
		return fmt.Errorf("resolve %q: %w", t.Listen, err)
	}
	if t.socket, err = net.ListenUDP("udp", address); err != nil {
		return fmt.Errorf("bind peer address: %w", err)
	}
	t.quic = &quic.Transport{Conn: t.socket, StatelessResetKey: t.resetKey()}
	if t.listener, err = t.quic.Listen(t.serverTLS(), t.config(0)); err != nil {
		return errors.Join(fmt.Errorf("listen for peers: %w", err), t.socket.Close())
	}
	t.runCtx, t.cancelRun = context.WithCancel(context.Background())
	return nil
}

// Address returns the bound host:port. It is valid after Open.
func (t *Transport) Address() string {
	return t.socket.LocalAddr().String()
}

// Run serves peers until ctx ends, then closes every connection. Calls that are
// in flight at that time fail; call Drain first to let them finish.
func (t *Transport) Run(ctx context.Context) error {
	var accepting conc.WaitGroup
	accepting.Go(t.accept)
	t.group.Go(t.sweep)
	<-ctx.Done()
	t.stopListening()
	accepting.Wait()
	return t.shutdown()
}

// stopListening refuses the handshakes in progress and ends accept once it has taken
// the established connections from the listener's queue. No peer is left without an
// answer: closing the socket alone would leave those connections open at the peers.
func (t *Transport) stopListening() {
	t.mu.Lock()
	t.draining, t.closed = true, true
	t.mu.Unlock()
	_ = t.listener.Close() // always returns nil
}

// shutdown closes the connections and waits for the transport's goroutines. It must be
// called after accept has returned.
func (t *Transport) shutdown() error {
	t.mu.Lock()
	open := make([]*connection, 0, len(t.accepted)+len(t.dialed))
	for c := range t.accepted {
		open = append(open, c)
	}
	for _, c := range t.dialed {
		open = append(open, c)
	}
	t.mu.Unlock()
	for _, c := range open {
		c.close(c.closeCode(), "shutdown")
	}
	t.cancelRun()
	err := errors.Join(t.quic.Close(), t.socket.Close())
	t.group.Wait()
	return err
}

// sweep retires, at regular intervals, dialed call connections that were not used for
// the idle timeout.
func (t *Transport) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.runCtx.Done():
			return
		case <-ticker.C:
			t.closeIdle(t.Limits.IdleMillis.Duration())
		}
	}
}

// closeIdle retires the dialed call connections that were not used for the given time.
func (t *Transport) closeIdle(after time.Duration) {
	t.mu.Lock()
	var idle []*connection
	for _, c := range t.dialed {
		if c.idleFor() >= after {
			idle = append(idle, c)
		}
	}
	t.mu.Unlock()
	for _, c := range idle {
		t.retire(c)
	}
}

// config returns the QUIC settings of a connection; keepAlive is 0 for connections
// without keep-alive packets.
func (t *Transport) config(keepAlive time.Duration) *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:       t.Limits.HandshakeMillis.Duration(),
		MaxIdleTimeout:             t.Limits.IdleMillis.Duration(),
		KeepAlivePeriod:            keepAlive,
		MaxIncomingStreams:         int64(t.Limits.Streams),
		MaxIncomingUniStreams:      int64(t.Limits.Streams),
		MaxStreamReceiveWindow:     uint64(2 * t.Limits.BodyBytes),
		MaxConnectionReceiveWindow: uint64(8 * t.Limits.BodyBytes),
		// Path MTU probes of about 1.4 KB would dominate the bytes of a control
		// connection.
		DisablePathMTUDiscovery: true,
	}
}

// serverTLS returns the TLS settings of the listener.
func (t *Transport) serverTLS() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{t.Identity.Certificate},
		ClientAuth:             tls.RequireAndVerifyClientCert,
		ClientCAs:              t.Identity.Authority,
		NextProtos:             []string{controlProtocol, callProtocol},
		SessionTicketsDisabled: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			_, err := keys.NodeOf(s.PeerCertificates[0])
			return err
		},
	}
}

// clientTLS returns the TLS settings for a connection to one node.
func (t *Transport) clientTLS(to ident.NodeID, protocol string) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{t.Identity.Certificate},
		RootCAs:      t.Identity.Authority,
		ServerName:   string(to),
		NextProtos:   []string{protocol},
		// The standard verifier compares names without regard to case.
		VerifyConnection: func(s tls.ConnectionState) error {
			if named, err := keys.NodeOf(s.PeerCertificates[0]); err != nil || named != to {
				return fmt.Errorf("%w: want %s, got %q", errWrongNode, to, named)
			}
			return nil
		},
	}
}

// resetKey returns the key for stateless resets. It is derived from the node's private
// key and so stays the same when the process is replaced: a packet of more than 42 bytes
// on a connection to the earlier process is answered with a reset, from which the peer
// learns that the connection is gone. It returns nil if the private key has no seed.
func (t *Transport) resetKey() *quic.StatelessResetKey {
	private, ok := t.Identity.Certificate.PrivateKey.(interface{ Seed() []byte })
	if !ok {
		return nil
	}
	key := quic.StatelessResetKey(sha256.Sum256(append([]byte("hickoryrail stateless reset "), private.Seed()...)))
	return &key
}

// emit passes an event to the stall detector.
func (t *Transport) emit(kind EventKind, c *connection, n int) {
	if t.OnEvent != nil && c.id != 0 {
		t.OnEvent(Event{Kind: kind, Connection: c.id, Node: c.node, Bytes: n})
	}
}

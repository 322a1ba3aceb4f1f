package node

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/stall"
	"hickoryrail/io/logs"
	"hickoryrail/io/peer"
)

const (
	// stallTick is the period at which connections are checked.
	stallTick = 50 * time.Millisecond
	// maxEchoes bounds the concurrent echo requests.
	maxEchoes = 64
	// reasonSilent is the logged reason for closing a stalled connection.
	reasonSilent = "connection without progress closed"
	// anyCall represents all outstanding calls of a connection: the detector only needs to
	// know whether there are any.
	anyCall ident.RequestID = "call"
)

// stallMonitor closes call connections on which no bytes arrive while calls are
// outstanding.
type stallMonitor struct {
	clock        clock.Clock
	transport    transport
	log          logs.Sink
	giveUpMillis clock.Millis

	// mu guards detector, nodes and calls.
	mu       sync.Mutex
	detector stall.Detector
	// nodes maps each open connection to its peer.
	nodes map[peer.ConnectionID]ident.NodeID
	// calls counts the outstanding calls of each connection that has some.
	calls map[peer.ConnectionID]int
}

// newStallMonitor returns a monitor. The transport's OnEvent must call handleEvent.
func newStallMonitor(c clock.Clock, probe, giveUp clock.Millis, log logs.Sink) *stallMonitor {
	return &stallMonitor{
		clock: c, log: log, giveUpMillis: giveUp,
		detector: stall.Detector{ProbeMillis: probe, GiveUpMillis: giveUp},
		nodes:    make(map[peer.ConnectionID]ident.NodeID),
		calls:    make(map[peer.ConnectionID]int),
	}
}

// handleEvent handles an event of the transport.
func (s *stallMonitor) handleEvent(e peer.Event) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	id := stall.ConnectionID(e.Connection)
	switch e.Kind {
	case peer.Opened:
		s.nodes[e.Connection] = e.Node
	case peer.Sent:
		s.calls[e.Connection]++
		s.detector.Sent(now, id, anyCall)
	case peer.Progress:
		s.detector.Progress(now, id)
	case peer.Ended:
		s.callEnded(e.Connection)
	case peer.Closed:
		delete(s.nodes, e.Connection)
		delete(s.calls, e.Connection)
		s.detector.Closed(id)
	}
}

// callEnded records the end of a call. The caller holds mu.
func (s *stallMonitor) callEnded(id peer.ConnectionID) {
	n, open := s.calls[id]
	if !open {
		return
	}
	if n > 1 {
		s.calls[id] = n - 1
		return
	}
	delete(s.calls, id)
	s.detector.Finished(stall.ConnectionID(id), anyCall)
}

// run checks the connections until ctx ends.
func (s *stallMonitor) run(ctx context.Context) error {
	echoes := pool.New().WithMaxGoroutines(maxEchoes)
	defer echoes.Wait()
	return every(ctx, stallTick, func() {
		s.mu.Lock()
		actions := s.detector.Tick(s.clock.Now())
		s.mu.Unlock()
		for _, a := range actions {
			s.perform(ctx, echoes, a)
		}
	})
}

// perform performs one action of the detector.
func (s *stallMonitor) perform(ctx context.Context, echoes *pool.Pool, a stall.Action) {
	id := peer.ConnectionID(a.Connection)
	if a.Kind == stall.Probe {
		echoes.Go(func() { s.echo(ctx, id) })
		return
	}
	s.mu.Lock()
	node := s.nodes[id]
	s.mu.Unlock()
	s.log.Record(logs.Decision{
		At: s.clock.Now(), Kind: logs.Member, Node: node,
		Reason: reasonSilent,
	})
	s.transport.CloseConnection(id)
}

// echo sends an echo request; a reply counts as progress.
func (s *stallMonitor) echo(ctx context.Context, id peer.ConnectionID) {
	ctx, cancel := context.WithTimeout(ctx, (2 * s.giveUpMillis).Duration())
	defer cancel()
	if s.transport.Echo(ctx, id) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detector.Progress(s.clock.Now(), stall.ConnectionID(id))
}

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
	// reasonSilent is the reason for the end of a connection.
	reasonSilent = "connection without progress closed"
)

// stalls closes call connections that went silent with calls outstanding.
type stalls struct {
	clock     clock.Clock
	transport transport
	log       logs.Sink
	giveUp    clock.Millis

	// mu guards watch and nodes.
	mu    sync.Mutex
	watch stall.Detector
	// nodes has an entry for each open connection.
	nodes map[peer.ConnectionID]ident.NodeID
	// calls counts the calls outstanding per connection.
	calls map[peer.ConnectionID]int
}

// newStalls returns a detector; the transport's OnEvent must be its event method.
func newStalls(c clock.Clock, probe, giveUp clock.Millis, log logs.Sink) *stalls {
	return &stalls{
		clock: c, log: log, giveUp: giveUp,
		watch: stall.Detector{ProbeMillis: probe, GiveUpMillis: giveUp},
		nodes: make(map[peer.ConnectionID]ident.NodeID),
		calls: make(map[peer.ConnectionID]int),
	}
}

// anyCall stands for the calls of a connection: the detector needs to know only
// whether there are some.
const anyCall ident.RequestID = "call"

// event takes an event of the transport.
func (s *stalls) event(e peer.Event) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	id := stall.ConnectionID(e.Connection)
	switch e.Kind {
	case peer.Opened:
		s.nodes[e.Connection] = e.Node
	case peer.Sent:
		s.calls[e.Connection]++
		s.watch.Sent(now, id, anyCall)
	case peer.Progress:
		s.watch.Progress(now, id)
	case peer.Ended:
		s.ended(e.Connection)
	case peer.Closed:
		delete(s.nodes, e.Connection)
		delete(s.calls, e.Connection)
		s.watch.Closed(id)
	}
}

// ended notes the end of a call. The caller holds mu.
func (s *stalls) ended(id peer.ConnectionID) {
	n, open := s.calls[id]
	if !open {
		return
	}
	if n > 1 {
		s.calls[id] = n - 1
		return
	}
	delete(s.calls, id)
	s.watch.Finished(stall.ConnectionID(id), anyCall)
}

// run checks the connections until ctx ends.
func (s *stalls) run(ctx context.Context) error {
	echoes := pool.New().WithMaxGoroutines(maxEchoes)
	defer echoes.Wait()
	return every(ctx, stallTick, func() {
		s.mu.Lock()
		actions := s.watch.Tick(s.clock.Now())
		s.mu.Unlock()
		for _, a := range actions {
			s.act(ctx, echoes, a)
		}
	})
}

// act carries out one action of the detector.
func (s *stalls) act(ctx context.Context, echoes *pool.Pool, a stall.Action) {
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

// echo sends an echo request; its answer counts as progress.
func (s *stalls) echo(ctx context.Context, id peer.ConnectionID) {
	ctx, cancel := context.WithTimeout(ctx, (2 * s.giveUp).Duration())
	defer cancel()
	if s.transport.Echo(ctx, id) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watch.Progress(s.clock.Now(), stall.ConnectionID(id))
}

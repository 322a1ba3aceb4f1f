package peer

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"hickoryrail/core/ident"
	"hickoryrail/core/result"
	"hickoryrail/io/keys"
)

// testTimeout bounds waits that end much earlier unless there is a fault.
const testTimeout = 20 * time.Second

// keyDirectory creates a directory with an authority and the keys of nodes a and b.
func keyDirectory(t *testing.T) string {
	directory := t.TempDir()
	if _, err := keys.CreateFleet(directory, []ident.NodeID{"a", "b"}); err != nil {
		t.Fatal(err)
	}
	return directory
}

// start opens a transport on a free port and runs it until the test ends.
func start(t *testing.T, directory string, self ident.NodeID, configure func(*Transport)) *Transport {
	identity, err := keys.LoadIdentity(directory, self)
	if err != nil {
		t.Fatal(err)
	}
	p := &Transport{Self: self, Listen: "127.0.0.1:0", Identity: identity}
	if configure != nil {
		configure(p)
	}
	if err := p.Open(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var g conc.WaitGroup
	g.Go(func() { _ = p.Run(ctx) })
	t.Cleanup(func() { cancel(); g.Wait() })
	return p
}

// answerTo returns the expected answer to a request.
func answerTo(body []byte) []byte {
	return append([]byte("answer to "), body...)
}

// TestAnswersMatchRequests guards against answers that are delivered to another call or
// are truncated, and against a NotRun verdict for a request that was run, while calls
// are cancelled and time out at random points (I4, I5).
func TestAnswersMatchRequests(t *testing.T) {
	var mu sync.Mutex
	ran := make(map[string]bool)
	directory := keyDirectory(t)
	server := start(t, directory, "b", func(p *Transport) {
		p.OnCall = func(ctx context.Context, _ ident.NodeID, body []byte) []byte {
			mu.Lock()
			ran[string(body[:8])] = true
			mu.Unlock()
			select {
			case <-ctx.Done():
			case <-time.After(time.Duration(body[7]%8) * 5 * time.Millisecond):
			}
			return answerTo(body)
		}
	})
	client := start(t, directory, "a", nil)
	var g conc.WaitGroup
	var answered, failed int
	for i := range 600 {
		g.Go(func() {
			r := rand.New(rand.NewPCG(1, uint64(i)))
			body := bytes.Repeat([]byte(fmt.Sprintf("%08d", i)), 1+r.IntN(40_000))
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			if r.IntN(2) == 0 {
				ctx, cancel = context.WithTimeout(ctx, time.Duration(r.IntN(60_000))*time.Microsecond)
			}
			defer cancel()
			got, err := client.Call(ctx, "b", server.Address(), body)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				answered++
				if !bytes.Equal(got, answerTo(body)) {
					t.Errorf("call %d: answer of %d bytes for a request of %d", i, len(got), len(body))
				}
			case result.Of(err) == result.NotRun && ran[string(body[:8])]:
				t.Errorf("call %d was run, but: %v", i, err)
			default:
				failed++
			}
		})
	}
	g.Wait()
	t.Logf("%d answered, %d failed", answered, failed)
	if answered == 0 || failed == 0 {
		t.Errorf("both outcomes must occur: %d answered, %d failed", answered, failed)
	}
}

// TestCancellation guards against a handler that continues after its caller has
// cancelled the call.
func TestCancellation(t *testing.T) {
	is := is.New(t)
	started, ended := make(chan struct{}), make(chan struct{})
	directory := keyDirectory(t)
	server := start(t, directory, "b", func(p *Transport) {
		p.OnCall = func(ctx context.Context, _ ident.NodeID, _ []byte) []byte {
			close(started)
			<-ctx.Done()
			close(ended)
			return nil
		}
	})
	client := start(t, directory, "a", nil)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-started; cancel() }()
	_, err := client.Call(ctx, "b", server.Address(), []byte("x"))
	is.Equal(result.Of(err), result.MayHaveRun)
	<-ended
}

// TestUnauthorizedPeersAreRefused guards against accepting a peer whose certificate is
// from another authority, or a peer that has the address but not the certificate of the
// intended node.
func TestUnauthorizedPeersAreRefused(t *testing.T) {
	is := is.New(t)
	directory := keyDirectory(t)
	run := make(chan ident.NodeID, 8)
	server := start(t, directory, "b", func(p *Transport) {
		p.OnCall = func(_ context.Context, from ident.NodeID, _ []byte) []byte { run <- from; return nil }
		p.OnControl = func(from ident.NodeID, _ []byte) { run <- from }
	})
	client := start(t, directory, "a", nil)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for _, wrong := range []ident.NodeID{"a", "B", "c"} {
		_, err := client.Call(ctx, wrong, server.Address(), nil)
		is.Equal(result.Of(err), result.NotRun)
		client.SendControl(wrong, server.Address(), []byte("x"))
	}
	foreign := start(t, keyDirectory(t), "a", func(p *Transport) {
		// It trusts the server's authority, so that only the server can refuse it.
		pool, err := keys.LoadAuthority(directory)
		is.NoErr(err)
		p.Identity.Authority = pool
	})
	_, err := foreign.Call(ctx, "b", server.Address(), nil)
	is.Equal(result.Of(err), result.NotRun)
	_, err = start(t, keyDirectory(t), "a", nil).Call(ctx, "b", server.Address(), nil)
	is.Equal(result.Of(err), result.NotRun)
	is.Equal(len(run), 0)
	_, err = client.Call(ctx, "b", server.Address(), nil)
	is.NoErr(err)
	is.Equal(<-run, ident.NodeID("a"))
}

// TestFrozenConnection guards against calls that hang on a connection whose packets are
// dropped, and against a fresh connection that uses the same ports and is dropped too.
func TestFrozenConnection(t *testing.T) {
	is := is.New(t)
	directory := keyDirectory(t)
	events := make(chan Event, 1024)
	server := start(t, directory, "b", func(p *Transport) {
		p.OnCall = func(_ context.Context, _ ident.NodeID, body []byte) []byte { return answerTo(body) }
	})
	client := start(t, directory, "a", func(p *Transport) {
		p.OnEvent = func(e Event) { events <- e }
	})
	f := newForwarder(t, server.Address())
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err := client.Call(ctx, "b", f.address(), []byte("1"))
	is.NoErr(err)
	id := (<-events).Connection
	is.NoErr(client.Echo(ctx, id))
	f.freeze()
	var g conc.WaitGroup
	g.Go(func() {
		_, err := client.Call(ctx, "b", f.address(), []byte("2"))
		is.Equal(result.Of(err), result.MayHaveRun)
		is.Equal(result.Reason(err), reasonLost)
	})
	for e := range events {
		if e.Kind == Sent && len(events) == 0 && client.outstanding(id) == 1 {
			break
		}
	}
	short, cancelEcho := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancelEcho()
	is.True(client.Echo(short, id) != nil)
	answer, err := client.CallFresh(ctx, "b", f.address(), []byte("3"))
	is.NoErr(err)
	is.Equal(answer, answerTo([]byte("3")))
	client.CloseConnection(id)
	g.Wait()
	_, err = client.Call(ctx, "b", f.address(), []byte("4"))
	is.NoErr(err)
}

// outstanding returns the number of calls on a dialed connection.
func (t *Transport) outstanding(id ConnectionID) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.dialed[id]
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outstanding
}

// TestDrain guards against a planned stop that interrupts a call or runs a new
// one (I8).
func TestDrain(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}), make(chan struct{})
	directory := keyDirectory(t)
	server := start(t, directory, "b", func(p *Transport) {
		p.OnCall = func(_ context.Context, _ ident.NodeID, body []byte) []byte {
			close(started)
			<-release
			return answerTo(body)
		}
	})
	client := start(t, directory, "a", nil)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var g conc.WaitGroup
	g.Go(func() {
		answer, err := client.Call(ctx, "b", server.Address(), []byte("1"))
		is.NoErr(err)
		is.Equal(answer, answerTo([]byte("1")))
	})
	<-started
	drained := make(chan error, 1)
	g.Go(func() { drained <- server.Drain(ctx) })
	for !server.isDraining() {
		time.Sleep(time.Millisecond)
	}
	_, err := client.Call(ctx, "b", server.Address(), []byte("2"))
	is.Equal(result.Of(err), result.NotRun)
	is.Equal(len(drained), 0) // a call is still running
	close(release)
	is.NoErr(<-drained)
	g.Wait()
}

// TestDrainIgnoresSilentCaller guards against a planned stop that waits for a caller
// whose packets no longer arrive.
func TestDrainIgnoresSilentCaller(t *testing.T) {
	is := is.New(t)
	directory := keyDirectory(t)
	server := start(t, directory, "b", func(p *Transport) {
		p.OnCall = func(_ context.Context, _ ident.NodeID, body []byte) []byte { return answerTo(body) }
	})
	client := start(t, directory, "a", nil)
	f := newForwarder(t, server.Address())
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err := client.Call(ctx, "b", f.address(), []byte("1"))
	is.NoErr(err)
	f.freeze()
	is.NoErr(server.Drain(ctx)) // ctx ends before the idle timeout of the connection
}

// isDraining reports whether a drain has begun.
func (t *Transport) isDraining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draining
}

// TestControl guards against control messages that are lost although the peer is
// reachable, that block their sender although it is not, and against uncounted traffic.
func TestControl(t *testing.T) {
	is := is.New(t)
	directory := keyDirectory(t)
	got := make(chan string, 64)
	receive := func(p *Transport) {
		p.OnControl = func(from ident.NodeID, body []byte) { got <- string(from) + string(body) }
	}
	a, b := start(t, directory, "a", receive), start(t, directory, "b", receive)
	a.SendControl("b", b.Address(), []byte("ping"))
	is.Equal(<-got, "aping")
	b.SendControl("a", a.Address(), []byte("pong"))
	is.Equal(<-got, "bpong")
	is.Equal(len(b.dialedControl()), 0) // b replied on the connection that a dialed
	is.True(a.ControlTraffic().Sent > 1200)
	is.True(b.ControlTraffic().Received > 1200)
	for range 10_000 {
		a.SendControl("c", "127.0.0.1:9", []byte("x"))
	}
	b.SendControl("a", a.Address(), make([]byte, b.Limits.ControlBytes+1))
	b.SendControl("a", a.Address(), []byte("last"))
	is.Equal(<-got, "blast")
}

// dialedControl returns the nodes to which a control connection was dialed.
func (t *Transport) dialedControl() []ident.NodeID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []ident.NodeID
	for n, s := range t.senders {
		if s.dialed != nil {
			out = append(out, n)
		}
	}
	return out
}

// forwarder forwards UDP packets between callers and one server. It can drop the packets
// of all existing flows and still forward those of new ones.
type forwarder struct {
	socket *net.UDPConn
	server *net.UDPAddr
	mu     sync.Mutex
	// flows holds each caller's socket towards the server, or nil if it is frozen.
	flows map[string]*net.UDPConn
}

// newForwarder runs a forwarder until the test ends.
func newForwarder(t *testing.T, server string) *forwarder {
	address, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		t.Fatal(err)
	}
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	f := &forwarder{socket: socket, server: address, flows: make(map[string]*net.UDPConn)}
	t.Cleanup(func() { _ = socket.Close(); f.freeze() })
	go f.run()
	return f
}

func (f *forwarder) address() string { return f.socket.LocalAddr().String() }

// run forwards packets of callers to the server until the socket is closed.
func (f *forwarder) run() {
	buffer := make([]byte, 2048)
	for {
		n, from, err := f.socket.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if flow := f.flow(from); flow != nil {
			_, _ = flow.Write(buffer[:n])
		}
	}
}

// flow returns the socket towards the server for a caller, or nil if its flow is frozen.
// For a new caller it starts forwarding the server's packets.
func (f *forwarder) flow(from *net.UDPAddr) *net.UDPConn {
	f.mu.Lock()
	defer f.mu.Unlock()
	flow, known := f.flows[from.String()]
	if known {
		return flow
	}
	flow, err := net.DialUDP("udp", nil, f.server)
	if err != nil {
		return nil
	}
	f.flows[from.String()] = flow
	go func() {
		buffer := make([]byte, 2048)
		for {
			n, err := flow.Read(buffer)
			if err != nil {
				return
			}
			_, _ = f.socket.WriteToUDP(buffer[:n], from)
		}
	}()
	return flow
}

// freeze drops all further packets of the existing flows.
func (f *forwarder) freeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for from, flow := range f.flows {
		if flow != nil {
			_ = flow.Close()
		}
		f.flows[from] = nil
	}
}

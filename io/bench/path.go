package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"runtime"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/member"
	"hickoryrail/core/model"
	"hickoryrail/core/retry"
	"hickoryrail/core/route"
	"hickoryrail/core/view"
	"hickoryrail/io/keys"
	"hickoryrail/io/peer"
	"hickoryrail/io/proxy"
)

const (
	// pathSlice is the duration of one slice. Slices of direct calls and of calls over
	// the path alternate, so that noise of the machine affects both alike.
	pathSlice = 500 * time.Millisecond
	// pathRequestBytes and pathResponseBytes are the sizes of the bodies.
	pathRequestBytes  = 256
	pathResponseBytes = 1024
	// pathTimeout bounds one call.
	pathTimeout = 5 * time.Second
	// maxDelayMicros is the largest delay that is recorded.
	maxDelayMicros = 10_000_000
)

type (
	// pathFleet is an ingress node, a target node and a target in one process,
	// connected over loopback.
	pathFleet struct {
		ingress *proxy.Ingress
		target  *fasthttp.Server
		address string
		group   conc.WaitGroup
		stop    context.CancelFunc
	}

	// loadGenerator sends calls to the target, either directly or over the path, and
	// holds their figures.
	loadGenerator struct {
		client *fasthttp.HostClient
		host   string
		delays *hdrhistogram.Histogram
		cpu    time.Duration
		allocs uint64
		calls  int
		failed int
	}
)

// PathDuration is the time for each rate, of the direct calls and again of those over
// the path, for published figures.
const PathDuration = 10 * time.Second

// PathDelay measures the delay that the whole path (ingress, QUIC, gateway, target)
// adds to a direct call, for each rate in calls/s.
func PathDelay(duration time.Duration, rates ...int) (*Table, error) {
	f, err := newPathFleet()
	if err != nil {
		return nil, err
	}
	defer f.close()
	t := NewTable(fmt.Sprintf("added delay on loopback, all in one process, %d B requests, %d B answers, %v for each rate and way",
		pathRequestBytes, pathResponseBytes, duration),
		"calls/s", "direct p50 us", "direct p99 us", "path p50 us", "path p99 us", "added p50 us", "added p99 us",
		"p99 ratio", "added cpu us/call", "added allocations/call", "calls", "failed")
	for _, rate := range rates {
		direct, path := newLoadGenerator(f.address), newLoadGenerator(f.ingress.Address())
		direct.run(rate, pathSlice) // warm-up: opens the connections
		path.run(rate, pathSlice)
		direct.reset()
		path.reset()
		for range int(duration / pathSlice) {
			direct.run(rate, pathSlice)
			path.run(rate, pathSlice)
		}
		d50, d99, p50, p99 := direct.percentile(50), direct.percentile(99), path.percentile(50), path.percentile(99)
		t.Add(rate, d50, d99, p50, p99, p50-d50, p99-d99, float64(p99)/float64(d99),
			path.perCall(float64(path.cpu.Microseconds()))-direct.perCall(float64(direct.cpu.Microseconds())),
			path.perCall(float64(path.allocs))-direct.perCall(float64(direct.allocs)),
			path.calls+direct.calls, path.failed+direct.failed)
	}
	return t, nil
}

// newLoadGenerator returns a generator of calls to the HTTP server at address.
func newLoadGenerator(address string) *loadGenerator {
	return &loadGenerator{
		client: &fasthttp.HostClient{Addr: address, MaxConns: 4096, MaxIdemponentCallAttempts: 1},
		host:   address, delays: hdrhistogram.New(1, maxDelayMicros, 3),
	}
}

// reset clears the figures.
func (g *loadGenerator) reset() {
	g.delays.Reset()
	g.cpu, g.allocs, g.calls, g.failed = 0, 0, 0, 0
}

// percentile returns percentile p of the delays in microseconds.
func (g *loadGenerator) percentile(p float64) int64 {
	return g.delays.ValueAtPercentile(p)
}

// perCall returns a sum divided by the number of calls.
func (g *loadGenerator) perCall(sum float64) float64 {
	return sum / float64(max(g.calls, 1))
}

// run sends calls at a fixed rate, whether or not earlier ones were answered.
func (g *loadGenerator) run(rate int, duration time.Duration) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := processTime()
	n := int(float64(rate) * duration.Seconds())
	results := make(chan time.Duration, n)
	var group conc.WaitGroup
	start := time.Now()
	for i := range n {
		due := start.Add(time.Duration(float64(i) / float64(rate) * float64(time.Second)))
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
		}
		sent := time.Now()
		group.Go(func() {
			if g.call() {
				results <- time.Since(sent)
			} else {
				results <- -1
			}
		})
	}
	group.Wait()
	g.cpu += processTime() - cpu
	runtime.ReadMemStats(&after)
	g.allocs += after.Mallocs - before.Mallocs
	for range n {
		d := <-results
		g.calls++
		if d < 0 || g.delays.RecordValue(max(d.Microseconds(), 1)) != nil {
			g.failed++
		}
	}
}

// call makes one call and reports whether it got the complete response.
func (g *loadGenerator) call() bool {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + g.host + "/order")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyRaw(make([]byte, pathRequestBytes))
	err := g.client.DoTimeout(req, resp, pathTimeout)
	return err == nil && resp.StatusCode() == fasthttp.StatusOK && len(resp.Body()) == pathResponseBytes
}

// processTime returns the user and system time of this process.
func processTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// newPathFleet starts the nodes and the target.
func newPathFleet() (*pathFleet, error) {
	directory, err := os.MkdirTemp("", "hickoryrail-path")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(directory) }()
	nodes := []ident.NodeID{"ingress", "target"}
	if _, err := keys.CreateFleet(directory+"/keys", nodes); err != nil {
		return nil, err
	}
	f := &pathFleet{}
	if err := f.startTarget(); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	gateway := &proxy.Gateway{Self: "target", Incarnation: 1, Clock: clock.NewSystem(), QueueLength: 4096}
	if err := gateway.Open(); err != nil {
		return nil, err
	}
	if err := gateway.Announce(proxy.Announcement{Target: "t", Address: f.address, Slots: 1000, Connections: 1000}); err != nil {
		return nil, err
	}
	transports := make([]*peer.Transport, len(nodes))
	for i, node := range nodes {
		identity, err := keys.LoadIdentity(directory+"/keys", node)
		if err != nil {
			return nil, err
		}
		p := &peer.Transport{Self: node, Listen: "127.0.0.1:0", Identity: identity, OnCall: gateway.OnCall}
		if err := p.Open(); err != nil {
			return nil, err
		}
		f.group.Go(func() { _ = p.Run(ctx) })
		transports[i] = p
	}
	f.group.Go(func() { _ = gateway.Run(ctx) })
	return f, f.startIngress(ctx, transports[0], transports[1].Address())
}

// startTarget starts a target that responds without delay.
func (f *pathFleet) startTarget() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	answer := make([]byte, pathResponseBytes)
	f.address = l.Addr().String()
	f.target = &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBody(answer) }}
	f.group.Go(func() { _ = f.target.Serve(l) })
	return nil
}

// startIngress starts the ingress with a view of the one target.
func (f *pathFleet) startIngress(ctx context.Context, peers proxy.Peers, address string) error {
	c := model.Configuration{
		Inventory: model.Inventory{Services: []model.Service{{Name: "shop", Slots: 1000, Connections: 1000}}},
		Rules: model.Rules{Routes: []model.Route{{
			Name: "order", PathPrefix: "/order", Service: "shop", Class: model.Action, TimeoutMillis: 5000, MaxAttempts: 1,
		}}},
	}
	release, err := model.NewRelease(1, "edit", c)
	if err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(1, 1))
	f.ingress = &proxy.Ingress{
		Self: "ingress", Listen: "127.0.0.1:0", Clock: clock.NewSystem(), Peers: peers,
		Picker: &route.Picker{Self: "ingress", Rand: random},
		Policy: &retry.Policy{Budget: &retry.Budget{}, Rand: random},
	}
	if err := f.ingress.Open(); err != nil {
		return err
	}
	f.ingress.SetView(view.Build(release, []member.Record{{
		Node: "target", Service: "shop", Target: "t", TargetState: member.Ready, GateIncarnation: 1, PeerAddress: address,
	}}), 1)
	f.group.Go(func() { _ = f.ingress.Run(ctx) })
	return nil
}

// close stops everything.
func (f *pathFleet) close() {
	f.stop()
	_ = f.target.Shutdown()
	f.group.Wait()
}

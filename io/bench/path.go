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
	// pathSlice is the length of one slice; slices of both ways alternate, so
	// that noise of the machine falls on both.
	pathSlice = 500 * time.Millisecond
	// pathRequestBytes and pathAnswerBytes are the sizes of the bodies.
	pathRequestBytes = 256
	pathAnswerBytes  = 1024
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

	// way is one of the two ways to the target.
	way struct {
		client *fasthttp.HostClient
		host   string
		delays *hdrhistogram.Histogram
		cpu    time.Duration
		allocs uint64
		calls  int
		failed int
	}
)

// PathLength is the time of each rate and way for figures that are published.
const PathLength = 10 * time.Second

// PathDelay measures the delay that the whole path (ingress, QUIC, gateway,
// target) adds to a direct call, in one run for each rate in calls/s.
func PathDelay(length time.Duration, rates ...int) (*Table, error) {
	f, err := newPathFleet()
	if err != nil {
		return nil, err
	}
	defer f.close()
	t := NewTable(fmt.Sprintf("added delay on loopback, all in one process, %d B requests, %d B answers, %v for each rate and way",
		pathRequestBytes, pathAnswerBytes, length),
		"calls/s", "direct p50 us", "direct p99 us", "path p50 us", "path p99 us", "added p50 us", "added p99 us",
		"p99 ratio", "added cpu us/call", "added allocations/call", "calls", "failed")
	for _, rate := range rates {
		direct, path := newWay(f.address), newWay(f.ingress.Address())
		direct.run(rate, pathSlice) // opens the connections
		path.run(rate, pathSlice)
		direct.reset()
		path.reset()
		for range int(length / pathSlice) {
			direct.run(rate, pathSlice)
			path.run(rate, pathSlice)
		}
		d50, d99, p50, p99 := direct.at(50), direct.at(99), path.at(50), path.at(99)
		t.Add(rate, d50, d99, p50, p99, p50-d50, p99-d99, float64(p99)/float64(d99),
			path.perCall(float64(path.cpu.Microseconds()))-direct.perCall(float64(direct.cpu.Microseconds())),
			path.perCall(float64(path.allocs))-direct.perCall(float64(direct.allocs)),
			path.calls+direct.calls, path.failed+direct.failed)
	}
	return t, nil
}

// newWay returns a way through the HTTP server at address.
func newWay(address string) *way {
	return &way{
		client: &fasthttp.HostClient{Addr: address, MaxConns: 4096, MaxIdemponentCallAttempts: 1},
		host:   address, delays: hdrhistogram.New(1, maxDelayMicros, 3),
	}
}

// reset forgets the figures so far.
func (w *way) reset() {
	w.delays.Reset()
	w.cpu, w.allocs, w.calls, w.failed = 0, 0, 0, 0
}

// at returns a percentile of the delays in microseconds.
func (w *way) at(percentile float64) int64 {
	return w.delays.ValueAtPercentile(percentile)
}

// perCall returns a sum divided by the calls.
func (w *way) perCall(sum float64) float64 {
	return sum / float64(max(w.calls, 1))
}

// run sends calls at a fixed rate, whether or not earlier ones were answered.
func (w *way) run(rate int, length time.Duration) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := processTime()
	n := int(float64(rate) * length.Seconds())
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
			if w.call() {
				results <- time.Since(sent)
			} else {
				results <- -1
			}
		})
	}
	group.Wait()
	w.cpu += processTime() - cpu
	runtime.ReadMemStats(&after)
	w.allocs += after.Mallocs - before.Mallocs
	for range n {
		d := <-results
		w.calls++
		if d < 0 || w.delays.RecordValue(max(d.Microseconds(), 1)) != nil {
			w.failed++
		}
	}
}

// call makes one call and reports whether the whole answer came.
func (w *way) call() bool {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + w.host + "/order")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyRaw(make([]byte, pathRequestBytes))
	err := w.client.DoTimeout(req, resp, pathTimeout)
	return err == nil && resp.StatusCode() == fasthttp.StatusOK && len(resp.Body()) == pathAnswerBytes
}

// processTime returns the processor time of this process.
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

// startTarget starts a target that answers at once.
func (f *pathFleet) startTarget() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	answer := make([]byte, pathAnswerBytes)
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

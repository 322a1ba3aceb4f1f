package bench

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"hickoryrail/core/ident"
	"hickoryrail/core/member"
	"hickoryrail/core/model"
	"hickoryrail/core/view"
	"hickoryrail/io/keys"
	"hickoryrail/io/peer"
)

// MemorySizes are the counts for published figures.
var MemorySizes = []int{32, 64, 128, 256}

const (
	// memoryBodyBytes is the size of the requests that are in flight.
	memoryBodyBytes = 1024
	// viewFactor multiplies the counts of members and routes, so that memory which the
	// rest of the process frees meanwhile is negligible.
	viewFactor = 100
)

// Memory measures the heap and stack memory of call connections, calls in flight,
// members in a view and routes, for each count in sizes. The figures of connections and
// calls cover both ends, since both are in this process.
func Memory(sizes ...int) (*Table, error) {
	t := NewTable("memory of one process, heap and stacks; connections and calls with both ends",
		"count", "KB per connection", "KB per call in flight", "bytes per member in a view", "bytes per route")
	var counts, connections, calls []float64
	for _, n := range sizes {
		connection, call, err := transportMemory(n)
		if err != nil {
			return nil, err
		}
		t.Add(n, connection/1e3/float64(n), call/1e3/float64(n), perMember(n), perRoute(n))
		counts, connections, calls = append(counts, float64(n)), append(connections, connection/1e3), append(calls, call/1e3)
	}
	if len(sizes) > 1 {
		a, b := NewFit(counts, connections), NewFit(counts, calls)
		t.Add("slope", a.Slope, b.Slope, "", "")
		t.Add("residual", a.Residual, b.Residual, "", "")
	}
	return t, nil
}

// memoryInUse returns the bytes of the heap and of stacks after a collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// transportMemory returns the bytes of n connections from one node to n others,
// and of one call in flight on each.
func transportMemory(n int) (connections, calls float64, err error) {
	directory, err := os.MkdirTemp("", "hickoryrail-bench")
	if err != nil {
		return 0, 0, err
	}
	defer os.RemoveAll(directory)
	unblock := make(chan struct{})
	onCall := func(ctx context.Context, _ ident.NodeID, body []byte) []byte {
		if len(body) > 1 {
			<-unblock
		}
		return nil
	}
	fleet, stop, err := openTransports(directory, n+1, onCall)
	defer stop()
	if err != nil {
		return 0, 0, err
	}
	before := memoryInUse()
	if err := callAll(fleet, []byte{0}); err != nil {
		return 0, 0, err
	}
	afterConnect := memoryInUse()
	var group conc.WaitGroup
	group.Go(func() { err = callAll(fleet, make([]byte, memoryBodyBytes)) })
	// The calls block in onCall and signal nothing that could be waited for.
	time.Sleep(time.Second)
	inFlight := memoryInUse()
	close(unblock)
	group.Wait()
	return afterConnect - before, inFlight - afterConnect, err
}

// callAll sends body from the first transport to each of the others at once.
func callAll(fleet []*peer.Transport, body []byte) error {
	failures := make([]error, len(fleet))
	var group conc.WaitGroup
	for i, to := range fleet[1:] {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			_, failures[i] = fleet[0].Call(ctx, to.Self, to.Address(), body)
		})
	}
	group.Wait()
	for _, err := range failures {
		if err != nil {
			return err
		}
	}
	return nil
}

// openTransports opens and runs n transports. The returned function stops them.
func openTransports(directory string, n int, onCall func(context.Context, ident.NodeID, []byte) []byte) ([]*peer.Transport, func(), error) {
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	stop := func() {
		cancel()
		group.Wait()
	}
	names := make([]ident.NodeID, n)
	for i := range names {
		names[i] = memberRecord(i).Node
	}
	if _, err := keys.CreateFleet(directory, names); err != nil {
		return nil, stop, err
	}
	limits := peer.DefaultLimits()
	limits.Connections = n
	var fleet []*peer.Transport
	for _, name := range names {
		identity, err := keys.LoadIdentity(directory, name)
		if err != nil {
			return nil, stop, err
		}
		t := &peer.Transport{
			Self: name, Listen: "127.0.0.1:0", Identity: identity, OnCall: onCall,
			Registry: prometheus.NewRegistry(), Limits: limits,
		}
		if err := t.Open(); err != nil {
			return nil, stop, err
		}
		fleet = append(fleet, t)
		group.Go(func() { _ = t.Run(ctx) })
	}
	return fleet, stop, nil
}

// perMember returns the bytes of one of n * viewFactor members.
func perMember(n int) float64 {
	return viewMemory(n*viewFactor, 1) / float64(n*viewFactor)
}

// perRoute returns the bytes of one of n * viewFactor routes.
func perRoute(n int) float64 {
	return viewMemory(1, n*viewFactor) / float64(n*viewFactor)
}

// viewMemory returns the bytes of the records, the release and the view of a fleet
// with the given numbers of members and routes.
func viewMemory(members, routes int) float64 {
	before := memoryInUse()
	records := make([]member.Record, members)
	for i := range records {
		records[i] = memberRecord(i)
		records[i].Service, records[i].TargetState = "orders", member.Ready
	}
	r := model.Release{Version: 1, Configuration: model.Configuration{
		Inventory: model.Inventory{Services: []model.Service{{Name: "orders", Slots: 6, Connections: 130}}},
	}}
	for i := range routes {
		r.Configuration.Rules.Routes = append(r.Configuration.Rules.Routes, model.Route{
			Name: ident.RouteName(fmt.Sprintf("route-%d", i)), PathPrefix: fmt.Sprintf("/route-%d", i), Service: "orders",
		})
	}
	v := view.Build(r, records)
	after := memoryInUse()
	runtime.KeepAlive(records)
	runtime.KeepAlive(v)
	return after - before
}

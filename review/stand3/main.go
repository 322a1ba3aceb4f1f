// Command stand3 plays the scripts of the review's cases: it starts nodes as the deploy file
// does, with stand-ins for the store, the servers and the callers on loopback addresses, and
// reports whether a rule was broken.
//
// Usage: stand3 CASE FOLDER, from the root of the repository. The record goes to
// FOLDER/record.txt. With TROUBLE=0 in the environment the disruption is left out. The exit
// status is 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	// maxTime bounds the time of a case.
	maxTime = 110 * time.Second
)

// world is what a case works with.
type world struct {
	// trouble is set if the case brings its disruption about.
	trouble  bool
	folder   string
	record   *os.File
	started  time.Time
	store    *store
	machines []*machine
	servers  []*server
	runs     *runs
	calls    *calls
	mu       sync.Mutex
	// collectors holds the log collectors of the machines, in their order.
	collectors []*collector
	// bounds are the bounds of the platform.
	bounds []string
	// partition, unless it is nil, cuts nodes off from each other.
	partition *partition
	// key is the access key of the callers; empty without one.
	key string
}

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(w *world) (bool, error){
	"revoked-key":        revokedKey,
	"departure-lost":     departureLost,
	"cut-before-demand":  cutBeforeDemand,
	"restart-behind-cut": restartBehindCut,
	"close-in-pipeline":  closeInPipeline,
}

func main() {
	os.Exit(play())
}

// play plays the case that the command line names and returns the exit status.
func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE FOLDER")
		return exitFailed
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	w.endWithScript()
	broken, err := cases[os.Args[1]](w)
	switch {
	case err != nil:
		w.logf("the case could not run: %v", err)
		return exitFailed
	case broken:
		w.logf("the rule was broken")
		return exitBroken
	}
	w.logf("the rule held")
	return exitHeld
}

// endWithScript ends all processes if the script is stopped or takes too long.
func (w *world) endWithScript() {
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-stopped:
		case <-time.After(maxTime):
		}
		w.logf("the case was ended before its end")
		w.close()
		os.Exit(exitFailed)
	}()
}

// newWorld returns a world with a store, whose record is in a folder.
func newWorld(folder string) (*world, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "stand3-")
	if err != nil {
		return nil, err
	}
	s, err := startStore()
	if err != nil {
		return nil, err
	}
	return &world{
		trouble: os.Getenv("TROUBLE") != "0", folder: temporary, record: record, started: time.Now(),
		store: s, runs: &runs{}, calls: &calls{}, bounds: bounds,
	}, nil
}

// logf writes a line to the record and to standard output.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(w.started).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	fmt.Fprint(w.record, line)
	fmt.Print(line)
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, m := range w.machines {
		m.kill()
	}
	for _, c := range w.collectors {
		c.end()
	}
	w.writeCalls()
	_ = os.RemoveAll(w.folder)
	_ = w.record.Close()
}

// writeCalls writes what was sent, answered and run to the record.
func (w *world) writeCalls() {
	ran := w.runs.all()
	for _, c := range w.calls.all() {
		fmt.Fprintf(w.record, "%s sent to %s at %.3f s, ended at %.3f s: status %d %s", c.id, c.node, c.sent.Sub(w.started).Seconds(),
			c.ended.Sub(w.started).Seconds(), c.status, c.problem)
		for _, r := range ran[c.id] {
			fmt.Fprintf(w.record, "; run by %s at %.3f s", r.server, r.began.Sub(w.started).Seconds())
			if !r.ended.IsZero() {
				fmt.Fprintf(w.record, " to %.3f s", r.ended.Sub(w.started).Seconds())
			}
		}
		fmt.Fprintln(w.record)
	}
}

// addMachine adds a machine in a zone with a server of a service, and starts both.
func (w *world) addMachine(zone, service string, slots int, work time.Duration) error {
	m, err := newMachine(len(w.machines)+1, zone, service, w.folder, w.store.address)
	if err != nil {
		return err
	}
	if w.partition != nil {
		p, err := startProxy(w.partition, m.name, m.ip, m.inbound)
		if err != nil {
			return err
		}
		m.advertised = p.address
	}
	if err := m.writeSettings(w.bounds); err != nil {
		return err
	}
	c, err := startCollector(m.logPath())
	if err != nil {
		return err
	}
	w.machines, w.collectors = append(w.machines, m), append(w.collectors, c)
	if err := m.start(c.input); err != nil {
		return err
	}
	s := &server{
		id: fmt.Sprintf("i-%d", len(w.machines)), service: service, zone: zone, address: m.app, control: m.control,
		slots: slots, runs: w.runs, work: work,
	}
	w.servers = append(w.servers, s)
	return s.start()
}

// awaitReady waits until all nodes are ready.
func (w *world) awaitReady() error {
	for _, m := range w.machines {
		if err := m.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// sendFrom starts callers of a machine, which go on until stop is closed. Each sends one
// request in a period.
func (w *world) sendFrom(m *machine, callers int, path string, period func() time.Duration, stop <-chan struct{}, group *sync.WaitGroup) {
	for range callers {
		c := &caller{
			calls: w.calls, node: m.name, address: m.outbound, method: "POST", path: path, host: host,
			body: "cartons=12", timeout: time.Second, key: w.key,
		}
		group.Go(func() { c.loop(stop, period) })
	}
}

// every returns a constant period.
func every(d time.Duration) func() time.Duration {
	return func() time.Duration { return d }
}

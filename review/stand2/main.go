// Command stand2 plays the cases of the second review: each starts nodes as separate
// processes, with stand-ins for the platform, the servers and the requesters.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseLimit bounds the time of a case.
const caseLimit = 110 * time.Second

// cases holds the function of each case, which reports whether its rule was broken.
var cases = map[string]func(*bed) (bool, error){}

// bed is what every case uses.
type bed struct {
	record *record
	store  *store
	nodes  []*node
	// trouble is false if the case must run without its disruption.
	trouble bool
	// directory is a temporary folder.
	directory string
}

func main() {
	os.Exit(play())
}

// play plays the case that the command line names and returns the exit status.
func play() int {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE")
		return exitFailed
	}
	b, err := newBed()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer b.close()
	go b.closeOnSignal()
	broken, err := cases[os.Args[1]](b)
	switch {
	case err != nil:
		b.record.summaryf("could not run: %v", err)
		return exitFailed
	case broken:
		b.record.summaryf("the rule was broken")
		return exitBroken
	}
	b.record.summaryf("the rule held")
	return exitHeld
}

// newBed creates the record, the temporary folder and the store.
func newBed() (*bed, error) {
	rec, err := newRecord()
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s, err := newStore(address(0))
	if err != nil {
		return nil, err
	}
	return &bed{record: rec, store: s, trouble: os.Getenv("TROUBLE") != "0", directory: directory}, nil
}

// address returns a loopback address for machine i. Two plays at the same time have others.
func address(i int) string {
	p := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+p>>8&63, p&255, 1+i)
}

// addNode prepares node i beside a server of a service, in a zone of its own.
func (b *bed) addNode(service string) (*node, error) {
	i := len(b.nodes) + 1
	zone := fmt.Sprintf("attica-%c", 'a'+(i-1)%3)
	n, err := newNode(b.record, b.directory, address(i), zone, fmt.Sprintf("sidecar-%s-%d", zone, i), service, b.store.address)
	if err == nil {
		b.nodes = append(b.nodes, n)
	}
	return n, err
}

// startAll starts all nodes and waits until they are ready.
func (b *bed) startAll() error {
	for _, n := range b.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range b.nodes {
		if err := n.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// closeOnSignal ends the processes when the case is interrupted or takes too long.
func (b *bed) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(caseLimit):
	}
	b.record.summaryf("interrupted")
	b.close()
	os.Exit(exitFailed)
}

// close ends all processes and removes the temporary folder.
func (b *bed) close() {
	for _, n := range b.nodes {
		if n.cmd != nil {
			n.kill()
		}
	}
	_ = os.RemoveAll(b.directory) // what is left there does no harm
}

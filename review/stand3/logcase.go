package main

import (
	"os"
	"os/exec"
	"sync"
	"time"
)

const (
	// maxLost is the number of requests for which the rule allows a close without an answer.
	maxLost = 3
)

// collector is a process that reads the log of a node.
type collector struct {
	cmd *exec.Cmd
	// input is what the node writes to.
	input *os.File
}

// startCollector starts a collector that copies what it reads to a file.
func startCollector(path string) (*collector, error) {
	output, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	defer output.Close()
	r, w, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	defer r.Close()
	c := &collector{cmd: exec.Command("cat"), input: w}
	c.cmd.Stdin, c.cmd.Stdout = r, output
	return c, c.cmd.Start()
}

// end ends the collector.
func (c *collector) end() {
	_ = c.input.Close()
	_ = c.cmd.Process.Kill()
	_ = c.cmd.Wait()
}

// startSmallFleet starts three machines, one in each zone, with a server each.
func startSmallFleet(w *world, slots int, work time.Duration) error {
	w.store.put("op", "config", encodeConfiguration(1, 800*time.Millisecond, "orders"))
	for _, zone := range zones {
		if err := w.addMachine(zone, "orders", slots, work); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

// lost returns the requests that a node passed on to a server and whose connection ended
// without a whole answer, from a time on.
func (w *world) lost(node string, from time.Time) []call {
	ran := w.runs.all()
	var out []call
	for _, c := range w.calls.all() {
		if c.node == node && !c.sent.Before(from) && !c.whole && c.problem != noConnection && len(ran[c.id]) > 0 {
			out = append(out, c)
		}
	}
	return out
}

// collectorEnds kills the log collector of one node, and then writes a configuration, so that
// the nodes have a line to log.
func collectorEnds(w *world) (bool, error) {
	if err := startSmallFleet(w, 9, 90*time.Millisecond); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	time.Sleep(4 * time.Second)
	for _, m := range w.machines {
		w.sendFrom(m, 9, "/orders/2f", every(100*time.Millisecond), stop, &group)
	}
	time.Sleep(4 * time.Second)
	began := time.Now()
	first := w.machines[0]
	if w.trouble {
		w.logf("the log collector of %s is killed", first.name)
		_ = w.collectors[0].cmd.Process.Kill()
		_ = w.collectors[0].input.Close()
	}
	time.Sleep(4 * time.Second)
	w.logf("the operators write configuration 2")
	w.store.put("op", "config", encodeConfiguration(2, 900*time.Millisecond, "orders"))
	time.Sleep(4 * time.Second)
	close(stop)
	group.Wait()
	for _, m := range w.machines {
		w.logf("%s: running %t %s", m.name, m.running(), m.state)
	}
	lost := w.lost(first.name, began)
	w.logf("%s passed on %d requests and closed their connections without an answer", first.name, len(lost))
	return len(lost) > maxLost, nil
}

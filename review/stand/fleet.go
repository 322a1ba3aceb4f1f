package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	// program is the program that the build of the deploy file makes.
	program = "target/hickoryrail"
	// templatePath is the template of the nodes' settings.
	templatePath = "deploy/node.toml"
	// graceTime is the bound grace-s of the small deployments.
	graceTime = 6 * time.Second
	// readyTimeout bounds the start of the nodes.
	readyTimeout = 20 * time.Second
	// metricsPort is the port of AdminAddress in the template.
	metricsPort = 9464
	// maxMachines is the largest number of machines of a case, and maxNetworks the number
	// of loopback networks to choose from.
	maxMachines, maxNetworks = 3, 250
)

type (
	// fleet holds the store, the nodes and the servers of a case.
	fleet struct {
		*record
		folder string
		store  *store
		// network is the first three bytes of the machines' loopback addresses.
		network string
		nodes   []*node
		apps    []*app
	}

	// node is one machine and the hickoryrail process on it.
	node struct {
		*record
		machine
		settings string
		output   *os.File

		mu      sync.Mutex
		command *exec.Cmd
		exited  chan struct{}
	}
)

// newFleet starts a store.
func newFleet(r *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	network, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	s, err := openStore()
	if err != nil {
		return nil, err
	}
	return &fleet{record: r, folder: folder, store: s, network: network}, nil
}

// freeNetwork returns the first three bytes of loopback addresses on which metricsPort is
// free: the template gives the metrics the same port on each machine.
func freeNetwork() (string, error) {
	for i := range maxNetworks {
		network := fmt.Sprintf("127.0.%d", 1+(os.Getpid()+i)%maxNetworks)
		if isFree(network) {
			return network, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

// isFree reports whether metricsPort is free on the addresses of a network that a case uses.
func isFree(network string) bool {
	for i := range maxMachines {
		l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, i+1, metricsPort))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// close ends every process and removes the temporary folder.
func (f *fleet) close() {
	for _, a := range f.apps {
		a.close()
	}
	for _, n := range f.nodes {
		n.kill()
		_ = n.output.Close()
	}
	f.store.close()
	_ = os.RemoveAll(f.folder)
}

// addMachine prepares a machine with an IP address, a port for each listener and the
// settings of its node.
func (f *fleet) addMachine(zone, service string) (*node, error) {
	i := len(f.nodes) + 1
	m := machine{
		name: fmt.Sprintf("sidecar-%s-%d", zone, i), zone: zone, service: service, ip: fmt.Sprintf("%s.%d", f.network, i),
		store: f.store.address(), bounds: smallBounds,
	}
	for _, address := range []*string{&m.inbound, &m.outbound, &m.ready, &m.control, &m.app} {
		l, err := net.Listen("tcp", m.ip+":0")
		if err != nil {
			return nil, err
		}
		*address = l.Addr().String()
		defer l.Close()
	}
	template, err := os.ReadFile(templatePath)
	if err != nil {
		return nil, err
	}
	text, err := render(string(template), m)
	if err != nil {
		return nil, err
	}
	n := &node{record: f.record, machine: m, settings: filepath.Join(f.folder, m.name+".toml")}
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	n.output, err = os.Create(filepath.Join(f.folder, m.name+".log"))
	if err != nil {
		return nil, err
	}
	f.nodes = append(f.nodes, n)
	return n, nil
}

// start starts the node's process with the command of the deploy file.
func (n *node) start() error {
	c := exec.Command(program, "node", "-config", n.settings)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HICKORYRAIL_NODE_FILE=" + n.settings}
	c.Stdout, c.Stderr = n.output, n.output
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.command, n.exited = c, exited
	n.mu.Unlock()
	n.logf("%s: process %d started", n.name, c.Process.Pid)
	go func() {
		err := c.Wait()
		n.logf("%s: process %d ended (%v)", n.name, c.Process.Pid, err)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the node's process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.logf("%s: %v", n.name, s)
	_ = n.command.Process.Signal(s) // fails only if the process has ended
}

// kill ends the node's process and waits for its end.
func (n *node) kill() {
	n.mu.Lock()
	c, exited := n.command, n.exited
	n.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Kill()
	<-exited
}

// terminate stops the node as the platform does: SIGTERM, and SIGKILL after grace-s.
func (n *node) terminate() {
	n.signal(syscall.SIGTERM)
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(graceTime):
		n.signal(syscall.SIGKILL)
		<-exited
	}
}

// isReady asks for the node's readiness.
func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + n.ready + "/-/ready")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startAll starts every node and waits until all are ready.
func (f *fleet) startAll() error {
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range f.nodes {
		if !waitUntil(readyTimeout, n.isReady) {
			return errors.New(n.name + " did not get ready")
		}
	}
	f.logf("all nodes are ready")
	return nil
}

// waitUntil polls a condition until it holds or the time is over.
func waitUntil(d time.Duration, holds func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

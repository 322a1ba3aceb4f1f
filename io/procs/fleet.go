// Package procs runs a fleet of separate processes on loopback: the platform
// stand-in and nodes of the hickoryrail binary, with targets in this process. It
// is a tool for tests and measurements; no part of a node uses it.
package procs

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"hickoryrail/core/ident"
	"hickoryrail/io/admin"
	"hickoryrail/io/demo"
	"hickoryrail/io/keys"
	"hickoryrail/io/stub"
	"hickoryrail/io/target"
)

const (
	// MaxNodes bounds the processes of one fleet.
	MaxNodes = 200
	// stopTimeout bounds the wait for a process that was asked to stop.
	stopTimeout = 15 * time.Second
	// pollPeriod is the period of checks.
	pollPeriod = 20 * time.Millisecond
	// firstPort and lastPort bound the ports of the nodes.
	firstPort, lastPort = 20_000, 32_000
)

type (
	// Fleet is a platform stand-in with node processes. Exported fields are set
	// before Start.
	Fleet struct {
		// Binary is the path of the hickoryrail program.
		Binary string
		// Layout has at most MaxNodes nodes.
		demo.Layout
		// Targets is the number of nodes with a target, from the first on.
		Targets int

		directory string
		platform  *stub.Server
		nodes     []*process
		targets   []*target.Server
		stops     []context.CancelFunc
		wg        conc.WaitGroup
		cancel    context.CancelFunc
	}

	// process is one node process.
	process struct {
		name     ident.NodeID
		config   string
		caller   string
		target   string
		admin    string
		operator string
		peer     string
		cmd      *exec.Cmd
		// log takes the process's output.
		log *os.File
	}
)

var (
	// errNotReady reports nodes that did not become ready in time.
	errNotReady = errors.New("procs: fleet did not become ready in time")
	// errNoPort reports that every port is taken.
	errNoPort = errors.New("procs: no free port")
	// nextPort counts the ports that were tried, so that none is given out twice
	// before it is bound.
	nextPort atomic.Int64
)

// Start starts the platform, the nodes and the targets.
func (f *Fleet) Start(ctx context.Context) error {
	if f.Nodes > MaxNodes {
		return eris.Errorf("procs: %d nodes exceed %d", f.Nodes, MaxNodes)
	}
	ctx, f.cancel = context.WithCancel(ctx)
	directory, err := os.MkdirTemp("", "hickoryrail-fleet-")
	if err != nil {
		return eris.Wrap(err, "procs: directory")
	}
	f.directory = directory
	f.platform = &stub.Server{Listen: "127.0.0.1:0"}
	if err := f.platform.Open(); err != nil {
		return err
	}
	f.wg.Go(func() { _ = f.platform.Run(ctx) })
	names := f.NodeIDs()
	if _, err := keys.CreateFleet(filepath.Join(directory, "keys"), names); err != nil {
		return err
	}
	for i, name := range names {
		p, err := f.configure(i, name)
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, p)
		if err := p.start(); err != nil {
			return err
		}
	}
	for i := range f.Targets {
		if err := f.startTarget(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// configure writes the settings of one node on free ports.
func (f *Fleet) configure(i int, name ident.NodeID) (*process, error) {
	p := &process{name: name, config: filepath.Join(f.directory, string(name)+".toml")}
	for _, a := range []*string{&p.caller, &p.target, &p.admin, &p.operator, &p.peer} {
		free, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*a = free
	}
	place := demo.Place{
		Caller: p.caller, Target: p.target, Admin: p.admin, Operator: p.operator, Peer: p.peer,
		Platform: f.platform.Address(), Keys: filepath.Join(f.directory, "keys"), HasTarget: i < f.Targets,
	}
	if i > 0 {
		place.Seeds = []string{seed(f.nodes[0]), seed(f.nodes[i/2])}
	}
	err := os.WriteFile(p.config, []byte(f.Settings(i, place)), 0o600)
	if err != nil {
		return nil, err
	}
	p.log, err = os.Create(filepath.Join(f.directory, string(name)+".log"))
	p.cmd = f.command(p)
	return p, err
}

// command returns a new command for a node process.
func (f *Fleet) command(p *process) *exec.Cmd {
	cmd := exec.Command(f.Binary, "node", "-config", p.config)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	return cmd
}

// seed returns the entry of a node in Seeds.
func seed(p *process) string {
	return fmt.Sprintf("%s@%s", p.name, p.peer)
}

// freeAddress returns a loopback address whose TCP and UDP port are free. Ports
// are below the range that the kernel gives to outgoing connections, so that none
// of those takes a port before its node does.
func freeAddress() (string, error) {
	for range lastPort - firstPort {
		port := firstPort + int(nextPort.Add(1))%(lastPort-firstPort)
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", address)
		_ = l.Close()
		if err != nil {
			continue
		}
		return address, u.Close()
	}
	return "", errNoPort
}

// start starts the process.
func (p *process) start() error {
	return p.cmd.Start()
}

// startTarget starts the target beside node i.
func (f *Fleet) startTarget(ctx context.Context, i int) error {
	t := &target.Server{
		ID: f.TargetID(i), Service: f.Service(i), Listen: "127.0.0.1:0",
		Node: f.nodes[i].target, DelayMillis: f.DelayMillis,
	}
	if err := t.Open(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	f.targets = append(f.targets, t)
	f.stops = append(f.stops, cancel)
	f.wg.Go(func() { _ = t.Run(ctx) })
	return nil
}

// Signal sends a signal to node i.
func (f *Fleet) Signal(i int, s syscall.Signal) error {
	return f.nodes[i].cmd.Process.Signal(s)
}

// Kill ends node i with SIGKILL and waits for it.
func (f *Fleet) Kill(i int) error {
	if err := f.Signal(i, syscall.SIGKILL); err != nil {
		return err
	}
	_ = f.nodes[i].cmd.Wait()
	return nil
}

// Terminate stops node i gracefully and returns how long that took.
func (f *Fleet) Terminate(i int) (time.Duration, error) {
	began := time.Now()
	if err := f.Signal(i, syscall.SIGTERM); err != nil {
		return 0, err
	}
	err := f.nodes[i].cmd.Wait()
	return time.Since(began), err
}

// Restart starts node i again with the same settings.
func (f *Fleet) Restart(i int) error {
	f.nodes[i].cmd = f.command(f.nodes[i])
	return f.nodes[i].start()
}

// AwaitReady waits until the given nodes are ready and see the given number of
// live members and ready targets.
func (f *Fleet) AwaitReady(timeout time.Duration, nodes []int, members, targets int) error {
	deadline := time.Now().Add(timeout)
	for _, i := range nodes {
		for !f.ready(i, members, targets) {
			if time.Now().After(deadline) {
				return eris.Wrapf(errNotReady, "%s", f.nodes[i].name)
			}
			time.Sleep(pollPeriod)
		}
	}
	return nil
}

// ready reports whether node i is ready with that many members and targets.
func (f *Fleet) ready(i, members, targets int) bool {
	s, err := f.Status(i)
	if err != nil || len(s.Reasons) > 0 || s.Members["Alive"] < members {
		return false
	}
	n := 0
	for _, t := range s.Targets {
		if t.State == "Ready" {
			n++
		}
	}
	return n >= targets
}

// Status returns the status of node i.
func (f *Fleet) Status(i int) (admin.Status, error) {
	var s admin.Status
	body, err := f.get(i, "/status")
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(body, &s)
}

// get reads a page of node i's admin server.
func (f *Fleet) get(i int, path string) ([]byte, error) {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + f.nodes[i].admin + path)
	if err != nil {
		return nil, err
	}
	defer r.Body.Close()
	var body bytes.Buffer
	_, err = body.ReadFrom(r.Body)
	return body.Bytes(), err
}

// Operator returns a client of node i's operator API.
func (f *Fleet) Operator(i int) (*admin.Client, error) {
	directory := filepath.Join(f.directory, "keys")
	token, err := keys.LoadOperatorToken(directory)
	if err != nil {
		return nil, err
	}
	authority, err := keys.LoadAuthority(directory)
	if err != nil {
		return nil, err
	}
	return &admin.Client{URL: "https://" + f.nodes[i].operator, Token: token, Authority: authority}, nil
}

// CallerAddress returns the address of node i for callers.
func (f *Fleet) CallerAddress(i int) string {
	return f.nodes[i].caller
}

// Platform returns the platform stand-in, for its faults and counts.
func (f *Fleet) Platform() *stub.Server {
	return f.platform
}

// Runs returns how often the targets ran each action.
func (f *Fleet) Runs() map[string]int {
	sum := make(map[string]int)
	for _, t := range f.targets {
		for action, n := range t.Runs() {
			sum[action] += n
		}
	}
	return sum
}

// Stop stops everything that was started and removes the directory.
func (f *Fleet) Stop() error {
	var wg conc.WaitGroup
	for _, p := range f.nodes {
		wg.Go(p.stop)
	}
	wg.Wait()
	f.cancel()
	f.wg.Wait()
	return os.RemoveAll(f.directory)
}

// stop terminates the process, at last by SIGKILL.
func (p *process) stop() {
	if p.cmd.Process == nil || p.cmd.ProcessState != nil {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	timer := time.AfterFunc(stopTimeout, func() { _ = p.cmd.Process.Kill() })
	defer timer.Stop()
	_ = p.cmd.Wait()
	_ = p.log.Close()
}

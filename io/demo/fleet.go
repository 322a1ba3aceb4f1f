// Package demo provides a whole fleet in one process: the platform stub, nodes in three
// failure domains, targets of two services and callers.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"hickoryrail/io/admin"
	"hickoryrail/io/conf"
	"hickoryrail/io/keys"
	"hickoryrail/io/node"
	"hickoryrail/io/stub"
	"hickoryrail/io/target"
)

// loopback is the address for listening on a free port of the loopback interface.
const loopback = "127.0.0.1:0"

type (
	// Fleet is a platform stub with nodes and a target beside each node.
	Fleet struct {
		Layout
		// LogOutput receives the log lines of the nodes.
		LogOutput io.Writer

		directory string
		platform  *stub.Server
		nodes     []*node.Node
		targets   []*target.Server
		// stops holds the function that stops each target.
		stops  []context.CancelFunc
		wg     conc.WaitGroup
		cancel context.CancelFunc
	}
)

// Start starts the platform, the nodes and the targets.
func (f *Fleet) Start(ctx context.Context) error {
	ctx, f.cancel = context.WithCancel(ctx)
	directory, err := os.MkdirTemp("", "hickoryrail-demo-")
	if err != nil {
		return eris.Wrap(err, "demo: key directory")
	}
	f.directory = directory
	names := f.NodeIDs()
	if _, err := keys.CreateFleet(directory, names); err != nil {
		return eris.Wrap(err, "demo: keys")
	}
	f.platform = &stub.Server{Listen: loopback}
	if err := f.platform.Open(); err != nil {
		return eris.Wrap(err, "demo: platform")
	}
	f.wg.Go(func() { _ = f.platform.Run(ctx) })
	for i, name := range names {
		if err := f.startNode(ctx, i); err != nil {
			return eris.Wrapf(err, "demo: %s", name)
		}
		if err := f.startTarget(ctx, i); err != nil {
			return eris.Wrapf(err, "demo: target of %s", name)
		}
	}
	return nil
}

// startNode starts node i.
func (f *Fleet) startNode(ctx context.Context, i int) error {
	settings, err := conf.Parse(f.Settings(i, f.environment(i)))
	if err != nil {
		return err
	}
	n, err := node.New(settings, f.LogOutput)
	if err != nil {
		return err
	}
	if err := n.Start(ctx); err != nil {
		return err
	}
	f.nodes = append(f.nodes, n)
	return nil
}

// environment returns the environment of node i. The first node is the seed of the
// others.
func (f *Fleet) environment(i int) Environment {
	e := Environment{
		Caller: loopback, Target: loopback, Admin: loopback, Operator: loopback, Peer: loopback,
		Platform: f.platform.Address(), Keys: f.directory, HasTarget: true,
	}
	if i > 0 {
		e.Seeds = []string{fmt.Sprintf("%s@%s", f.nodes[0].ID(), f.nodes[0].PeerAddress())}
	}
	return e
}

// startTarget starts the target beside node i.
func (f *Fleet) startTarget(ctx context.Context, i int) error {
	t := &target.Server{
		ID: f.TargetID(i), Service: f.Service(i), Listen: loopback,
		NodeAddress: f.nodes[i].TargetAddress(), DelayMillis: f.DelayMillis,
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

// Operator returns a client of the first node's operator API.
func (f *Fleet) Operator() (*admin.Client, error) {
	token, err := keys.LoadOperatorToken(f.directory)
	if err != nil {
		return nil, err
	}
	authority, err := keys.LoadAuthority(f.directory)
	if err != nil {
		return nil, err
	}
	return &admin.Client{
		URL: "https://" + f.nodes[0].OperatorAddress(), Token: token, Authority: authority,
	}, nil
}

// Stop stops every node gracefully, then the targets and the platform.
func (f *Fleet) Stop(ctx context.Context) error {
	failures := make([]error, len(f.nodes))
	var wg conc.WaitGroup
	for i, n := range f.nodes {
		wg.Go(func() { failures[i] = n.Stop(ctx) })
	}
	wg.Wait()
	f.cancel()
	f.wg.Wait()
	if err := os.RemoveAll(f.directory); err != nil {
		failures = append(failures, err)
	}
	for _, err := range failures {
		if err != nil {
			return err
		}
	}
	return nil
}

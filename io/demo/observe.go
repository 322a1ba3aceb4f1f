package demo

import (
	"math"

	"hickoryrail/core/ident"
)

// Ready reports whether every node is ready and routes to every target.
func (f *Fleet) Ready() bool {
	for _, n := range f.nodes {
		if !n.Ready() || n.RoutableTargets() < len(f.targets) {
			return false
		}
	}
	return true
}

// LowestVersion returns the lowest version in force on any node.
func (f *Fleet) LowestVersion() ident.Version {
	lowest := ident.Version(math.MaxUint64)
	for _, n := range f.nodes {
		lowest = min(lowest, n.Version())
	}
	return lowest
}

// CallerAddresses returns the addresses at which the nodes accept callers.
func (f *Fleet) CallerAddresses() []string {
	out := make([]string, len(f.nodes))
	for i, n := range f.nodes {
		out[i] = n.CallerAddress()
	}
	return out
}

// ControlBytes returns the control bytes that all nodes have sent.
func (f *Fleet) ControlBytes() ident.Bytes {
	var sum ident.Bytes
	for _, n := range f.nodes {
		sent, _ := n.ControlBytes()
		sum += sent
	}
	return sum
}

// Runs returns the number of runs of each action, over all targets.
func (f *Fleet) Runs() map[string]int {
	sum := make(map[string]int)
	for _, t := range f.targets {
		for action, n := range t.Runs() {
			sum[action] += n
		}
	}
	return sum
}

// KillTarget stops the target beside node i without a drain.
func (f *Fleet) KillTarget(i int) {
	f.targets[i].Kill()
	f.stops[i]()
}

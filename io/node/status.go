package node

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	"hickoryrail/core/ident"
	"hickoryrail/core/member"
	"hickoryrail/io/admin"
	"hickoryrail/io/wire"
)

const (
	// maxQueries bounds the concurrent questions to members.
	maxQueries = 16
	// queryTimeout bounds the questions of one request.
	queryTimeout = time.Second
)

// Reasons why a node is not ready.
const (
	reasonNoRelease = "no release in force"
	reasonBelow     = "release in force is below the version floor, or the floor is not known"
	reasonStopping  = "node stops"
)

// status tells the state of the node and of the fleet.
type status struct {
	fleet *fleet
	// lease tells of the reader's lease; nil on a node without a reader.
	lease func() admin.LeaseStatus
	// stopping reports whether the node is about to stop.
	stopping func() bool
}

// Status returns the state of the node.
func (s *status) Status() admin.Status {
	f := s.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	self := f.table.Self()
	out := admin.Status{
		Node: self.Node, FailureDomain: self.FailureDomain, Region: self.Region, Incarnation: self.Incarnation,
		Version: f.inForce.Version, EditID: f.inForce.EditID, Digest: f.inForce.Digest,
		Reasons: s.reasons(), Members: make(map[string]int),
	}
	if s.lease != nil {
		out.Lease = s.lease()
	}
	for _, r := range f.table.Records() {
		out.Members[r.State.String()]++
		if r.Target != "" {
			out.Targets = append(out.Targets, admin.TargetStatus{
				Target: r.Target, Node: r.Node, Service: r.Service,
				FailureDomain: r.FailureDomain, State: r.TargetState.String(),
			})
		}
	}
	return out
}

// reasons says why the node is not ready. The caller holds the fleet's mu.
func (s *status) reasons() []string {
	var out []string
	if s.stopping() {
		out = append(out, reasonStopping)
	}
	if s.fleet.inForce.Version == 0 {
		out = append(out, reasonNoRelease)
	}
	if !s.fleet.releases.Ready() {
		out = append(out, reasonBelow)
	}
	return out
}

// Fleet returns every known node. Members other than neighbours do not tell what
// they hold, so those that seem to be behind are asked; a member that does not
// answer in time keeps the version that was last heard.
func (s *status) Fleet() []admin.NodeStatus {
	records, newest := s.records()
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	queries := pool.New().WithMaxGoroutines(maxQueries)
	out := make([]admin.NodeStatus, len(records))
	for i, r := range records {
		out[i] = admin.NodeStatus{
			Node: r.Node, FailureDomain: r.FailureDomain, Region: r.Region, State: r.State.String(), Held: r.Held,
		}
		if r.Held < newest && (r.State == member.Alive || r.State == member.Suspect) {
			queries.Go(func() { out[i].Held = max(out[i].Held, s.ask(ctx, r)) })
		}
	}
	queries.Wait()
	return out
}

// records returns all records and the newest version that this node knows of.
func (s *status) records() ([]member.Record, ident.Version) {
	records := s.fleet.records()
	newest, _ := s.fleet.peerFloor()
	return records, newest
}

// ask returns the version that a member has in force, or 0 without an answer.
func (s *status) ask(ctx context.Context, r member.Record) ident.Version {
	body, err := s.fleet.transport.Call(ctx, r.Node, r.PeerAddress, wire.VersionQuery())
	if err != nil {
		return 0
	}
	held, err := wire.DecodeVersionReply(body)
	if err != nil {
		return 0
	}
	return held
}

// answer returns the version in force to a member that asks.
func (s *status) answer() []byte {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	return wire.EncodeVersionReply(s.fleet.inForce.Version)
}

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
	// maxQueries bounds the concurrent queries to members.
	maxQueries = 16
	// queryTimeout bounds the queries of one request together.
	queryTimeout = time.Second
)

// Reasons why a node is not ready.
const (
	reasonNoRelease  = "no release in force"
	reasonBelowFloor = "release in force is below the version floor, or the floor is not known"
	reasonStopping   = "node stops"
)

// status implements admin.StatusSource for the node and its fleet.
type status struct {
	fleet *fleet
	// lease returns the state of the region's lease; nil on a node without a reader.
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

// reasons returns the reasons why the node is not ready; none means that it is ready. The
// caller holds the fleet's mu.
func (s *status) reasons() []string {
	var out []string
	if s.stopping() {
		out = append(out, reasonStopping)
	}
	if s.fleet.inForce.Version == 0 {
		out = append(out, reasonNoRelease)
	}
	if !s.fleet.releases.Ready() {
		out = append(out, reasonBelowFloor)
	}
	return out
}

// Fleet returns every known node. Only neighbours report the version that they hold
// regularly, so members that seem to be behind are queried; for a member that does not
// reply in time, the version that was received last is returned.
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
			queries.Go(func() { out[i].Held = max(out[i].Held, s.queryHeld(ctx, r)) })
		}
	}
	queries.Wait()
	return out
}

// records returns all member records and the newest version that this node knows of.
func (s *status) records() ([]member.Record, ident.Version) {
	records := s.fleet.records()
	newest, _ := s.fleet.peerFloor()
	return records, newest
}

// queryHeld returns the version that a member has in force, or 0 if it does not reply.
func (s *status) queryHeld(ctx context.Context, r member.Record) ident.Version {
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

// heldReply returns the encoded reply to a query for the version in force.
func (s *status) heldReply() []byte {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	return wire.EncodeVersionReply(s.fleet.inForce.Version)
}

package member

import "hickoryrail/core/ident"

// Unlisted returns the live nodes of a failure domain that a directory does not list, or
// lists with another address.
func Unlisted(records []Record, listed []Seed, domain ident.FailureDomain) []Seed {
	addresses := make(map[ident.NodeID]string, len(listed))
	for _, s := range listed {
		addresses[s.Node] = s.Address
	}
	var out []Seed
	for _, r := range records {
		if r.live() && r.FailureDomain == domain && addresses[r.Node] != r.PeerAddress {
			out = append(out, Seed{Node: r.Node, Address: r.PeerAddress})
		}
	}
	return out
}

package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hickoryrail/core/ident"
	"hickoryrail/core/view"
)

// ranked is a target with its rendezvous hash for this node.
type ranked struct {
	target view.Target
	hash   uint64
}

// subset returns at most Limits.Subset targets. Up to half of them are from this
// node's failure domain; the others come from the other domains in turn, so that
// every domain is present and its capacity can be used.
func (p *Picker) subset(targets []view.Target) []view.Target {
	if len(targets) <= p.Limits.Subset {
		return targets
	}
	domains, names := p.byDomain(targets)
	own := domains[p.FailureDomain]
	quota := min(len(own), (p.Limits.Subset+1)/2)
	out := make([]view.Target, 0, p.Limits.Subset)
	for _, r := range own[:quota] {
		out = append(out, r.target)
	}
	for round, found := 0, true; found && len(out) < p.Limits.Subset; round++ {
		found = false
		for _, name := range names {
			if list := domains[name]; round < len(list) && len(out) < p.Limits.Subset {
				out, found = append(out, list[round].target), true
			}
		}
	}
	// This node's domain fills the places that the other ones can't.
	for _, r := range own[quota:min(len(own), quota+p.Limits.Subset-len(out))] {
		out = append(out, r.target)
	}
	return out
}

// byDomain returns the targets of each failure domain in order of hash, and the
// domains other than this node's, those of its region first.
func (p *Picker) byDomain(targets []view.Target) (map[ident.FailureDomain][]ranked, []ident.FailureDomain) {
	domains := make(map[ident.FailureDomain][]ranked)
	regionRank := make(map[ident.FailureDomain]int)
	var names []ident.FailureDomain
	for _, t := range targets {
		if _, ok := domains[t.FailureDomain]; !ok {
			if t.FailureDomain != p.FailureDomain {
				names = append(names, t.FailureDomain)
			}
			if t.Region != p.Region {
				regionRank[t.FailureDomain] = 1
			}
		}
		r := ranked{target: t, hash: p.hash(string(t.ID))}
		domains[t.FailureDomain] = append(domains[t.FailureDomain], r)
	}
	for _, list := range domains {
		slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(a.hash, b.hash) })
	}
	// Domains of one rank are ordered by hash: with more domains than places,
	// different nodes leave out different ones.
	slices.SortFunc(names, func(a, b ident.FailureDomain) int {
		return cmp.Or(cmp.Compare(regionRank[a], regionRank[b]), cmp.Compare(p.hash(string(a)), p.hash(string(b))))
	})
	return domains, names
}

// hash returns the rendezvous hash of a name for this node.
func (p *Picker) hash(name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(p.Self))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}

package fresh

import (
	"slices"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

// maxProofs bounds the proofs that are kept for releases that the node does not hold yet.
const maxProofs = 8

type (
	// proof states that every release that the store acknowledged before time at of the own
	// clock has at most this version.
	proof struct {
		version ident.Version
		at      clock.Millis
	}

	// proofs holds the proofs that may still count, ascending both in version and in time.
	proofs struct {
		list []proof
		// held is the version in force, and top the highest version that is known. Neither
		// decreases.
		held, top ident.Version
	}
)

// add takes in a proof. One for a version below the highest known one comes from a store
// that was restored from an older copy, or is older than the higher version. It counts for
// the higher version only, because a key may have been revoked in that. One for a higher
// version shows that lower versions were not the newest any more at its time.
func (p *proofs) add(v ident.Version, at clock.Millis) {
	for i := range p.list {
		if p.list[i].version < v {
			p.list[i].at = min(p.list[i].at, at)
		}
	}
	p.top = max(p.top, v)
	switch last := p.best(); {
	case last.version == p.top && last.version > 0:
		p.list[len(p.list)-1].at = max(last.at, at)
	case last.version < v || last.at < at:
		p.list = append(p.list, proof{p.top, at})
	}
	p.prune()
}

// setHeld records the version in force.
func (p *proofs) setHeld(v ident.Version) {
	p.held = max(p.held, v)
	p.top = max(p.top, v)
	p.prune()
}

// prune removes proofs that have no use any more.
func (p *proofs) prune() {
	for len(p.list) > 1 && p.list[1].version <= p.held {
		p.list = slices.Delete(p.list, 0, 1)
	}
	if len(p.list) > maxProofs {
		p.list = slices.Delete(p.list, 1, 2)
	}
}

// best returns the latest proof, which may be for a version that is not held yet; version 0
// if there is none.
func (p *proofs) best() proof {
	if len(p.list) == 0 {
		return proof{at: -clock.Forever}
	}
	return p.list[len(p.list)-1]
}

// counting returns the time of the latest proof that counts for the version in force, or
// -Forever.
func (p *proofs) counting() clock.Millis {
	if p.held == 0 || len(p.list) == 0 || p.list[0].version > p.held {
		return -clock.Forever
	}
	return p.list[0].at
}

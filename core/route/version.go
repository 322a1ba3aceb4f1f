package route

import (
	"slices"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/view"
)

// of returns the candidates of a version.
func (g *group) of(v Version) []*endpoint {
	switch {
	case v == AnyVersion, v == OldVersion && g.byVersion == nil:
		return g.candidates
	}
	return g.byVersion[v]
}

// setVersions sets the candidates of each version to a subset of its targets, so that a
// version with few targets among many has candidates at every node.
func (p *Picker) setVersions(now clock.Millis, g *group, targets []view.Target, wasEmpty bool) {
	isNew := func(t view.Target) bool { return t.Software != "" }
	if !slices.ContainsFunc(targets, isNew) {
		return
	}
	g.byVersion = make(map[Version][]*endpoint, 2)
	for _, v := range [...]Version{OldVersion, NewVersion} {
		var list []view.Target
		for _, t := range targets {
			if isNew(t) == (v == NewVersion) {
				list = append(list, t)
			}
		}
		for _, t := range p.subset(list) {
			e := p.targets[t.ID]
			if e == nil || !e.present {
				e = p.setCandidate(now, g, t, wasEmpty)
			}
			g.byVersion[v] = append(g.byVersion[v], e)
		}
	}
}

// Versions reports whether a service has targets of each version. Without a rollout, all
// targets are old ones.
func (p *Picker) Versions(service ident.ServiceName) (hasOld, hasNew bool) {
	g := p.services[service]
	if g == nil {
		return false, false
	}
	return len(g.of(OldVersion)) > 0, len(g.of(NewVersion)) > 0
}

package limiter

import (
	"log/slog"

	"ospreycroft/choice"
	"ospreycroft/internal/coldstart"
	"ospreycroft/internal/discovery"
)

// applyList applies a list: addresses go to the pools, the rest to the controller.
func (d *discoveryClient) applyList(list *discovery.List, kind coldstart.Kind) {
	l := d.limiter
	d.version = list.Version
	if list.Complete {
		d.completeLists++
	}
	endpoints := make([]choice.Endpoint, 0, len(list.Endpoints))
	leftOut := 0
	var outdated []*serverPool
	clock := d.startClock(kind == coldstart.ListReceived)
	for i := range list.Endpoints {
		entry := &list.Endpoints[i]
		pool := l.servers.pools[entry.ID]
		if pool == nil && !l.memory().AdmitsServer(len(l.servers.pools)) {
			leftOut++
			continue
		}
		if pool == nil {
			pool = l.servers.addPool(entry.ID, max(len(list.Endpoints), len(l.servers.pools)+1))
		}
		pool.lastListedIn = d.completeLists
		entry.StartedAt = pool.observeStart(entry.StartedAt, &clock)
		endpoints = append(endpoints, entry.Endpoint)
		if pool.update(entry) {
			outdated = append(outdated, pool)
		}
	}
	if list.Complete {
		outdated = append(l.servers.markMissing(d.completeLists), outdated...)
	}
	replaced := l.servers.markReplaced(list)
	outdated = append(outdated, replaced...)
	endpoints = withReplaced(endpoints, replaced)
	if leftOut > 0 {
		d.logFailure("servers-left-out", "servers", leftOut, "held", len(l.servers.pools))
	}
	if len(endpoints) > 0 || list.Complete {
		slog.Info("list", "generation", list.Version, "complete", list.Complete, "entries", len(endpoints))
		l.controller.UpdateEndpoints(l.now, list.Complete, endpoints)
	}
	// Only after UpdateEndpoints: before it, the controller would retry the cancelled attempts on the same server.
	for _, pool := range outdated {
		pool.closeUnused()
		pool.forgetIfEmpty()
	}
	if l.coldStart != nil {
		l.coldStart.listApplied(kind, list)
	}
}

// update applies an entry of the list, and tells whether the pool's unused connections are to be closed: the server is
// draining or gone, or its address has changed.
func (p *serverPool) update(entry *discovery.Endpoint) (closeUnused bool) {
	p.draining = entry.State != choice.EndpointReady
	p.removed = entry.State == choice.EndpointGone
	closeUnused = p.draining || entry.Address != p.address
	if entry.Address != "" {
		p.address = entry.Address
	}
	p.location = location{entry.Zone, entry.Cell}
	// Connections to an earlier process of the server are still open here if its machine vanished.
	p.closeLastUsedBefore(entry.StartedAt)
	return closeUnused
}

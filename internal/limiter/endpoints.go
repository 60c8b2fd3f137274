package limiter

import (
	"log/slog"

	"ospreycroft/choice"
	"ospreycroft/internal/coldstart"
	"ospreycroft/internal/discovery"
)

// applyList takes a list in: addresses for the pools, the rest for the controller.
func (d *discoveryClient) applyList(list *discovery.List, kind coldstart.Kind) {
	l := d.limiter
	d.version = list.Version
	if list.Complete {
		d.completeLists++
	}
	endpoints := make([]choice.Endpoint, len(list.Endpoints))
	var outdated []*serverPool
	clock := d.startClock(kind == coldstart.ListReceived)
	for i := range list.Endpoints {
		entry := &list.Endpoints[i]
		pool := l.servers.pools[entry.ID]
		if pool == nil {
			pool = l.servers.addPool(entry.ID, max(len(list.Endpoints), len(l.servers.pools)+1))
		}
		pool.lastListedIn = d.completeLists
		entry.StartedAt = pool.observeStart(entry.StartedAt, &clock)
		endpoints[i] = entry.Endpoint
		if pool.update(entry) {
			outdated = append(outdated, pool)
		}
	}
	if list.Complete {
		outdated = append(l.servers.markMissing(d.completeLists), outdated...)
	}
	if len(endpoints) > 0 || list.Complete {
		slog.Info("list", "generation", list.Version, "complete", list.Complete, "entries", len(endpoints))
		l.controller.UpdateEndpoints(l.now, list.Complete, endpoints)
	}
	// Only now, or the controller would send what is taken back to the same server again.
	for _, pool := range outdated {
		pool.closeUnused()
		pool.forgetIfEmpty()
	}
	if l.coldStart != nil {
		l.coldStart.listApplied(kind, list)
	}
}

// update takes in an entry of the list, and tells whether connections of the pool that are not in use are to be
// closed: its server leaves, or has moved.
func (p *serverPool) update(entry *discovery.Endpoint) (closeUnused bool) {
	p.draining = entry.State != choice.EndpointReady
	p.removed = entry.State == choice.EndpointGone
	closeUnused = p.draining || entry.Address != p.address
	if entry.Address != "" {
		p.address = entry.Address
	}
	p.location = location{entry.Zone, entry.Cell}
	p.closeLastUsedBefore(entry.StartedAt) // to the process before this one: where its machine vanished, nothing has said so
	return closeUnused
}

package limiter

import (
	"log"
	"ospreycroft/choice"
	"ospreycroft/internal/coldstart"
	"ospreycroft/internal/discovery"
)

// applyList takes a list in: addresses for the pools, the rest for the module.
func (w *discoveryClient) applyList(list *discovery.List, kind coldstart.Kind) {
	l := w.l
	w.version = list.Version
	entries := make([]choice.Endpoint, len(list.Entries))
	var retiring []*serverPool
	if list.Whole {
		w.completeLists++
	}
	for i, e := range list.Entries {
		entries[i] = e.Endpoint
		p := l.servers.pools[e.ID]
		if p == nil {
			p = l.servers.addPool(e.ID, max(len(list.Entries), len(l.servers.pools)+1))
		}
		p.listedIn = w.completeLists
		p.draining = e.State != choice.EndpointReady
		p.removed = e.State == choice.EndpointGone
		if p.draining || e.Address != p.address {
			retiring = append(retiring, p)
		}
		if e.Address != "" {
			p.address = e.Address
		}
		p.location = location{e.Zone, e.Cell}
		p.closeIdleSince(e.StartedAt) // to the process before this one: where its machine vanished, nothing has said so
	}
	if list.Whole {
		retiring = append(l.servers.markMissing(w.completeLists), retiring...)
	}
	if len(entries) > 0 || list.Whole {
		log.Printf("event=list generation=%d whole=%v entries=%d", list.Version, list.Whole, len(entries))
		l.controller.UpdateEndpoints(l.now, list.Whole, entries)
	}
	// Only now, or the module would send what is taken back to the same server again.
	for _, p := range retiring {
		p.closeUnused()
		p.forgetIfEmpty()
	}
	if l.coldStart != nil {
		l.coldStart.listApplied(kind, list)
	}
}

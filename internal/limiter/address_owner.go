package limiter

import (
	"log/slog"

	"ospreycroft/choice"
	"ospreycroft/internal/discovery"
)

// A server that is gone may still be listed, or its removal be told late, while a new server is listed at its address.
// What is sent there for the old one would reach the new one.

// markReplaced marks the servers as gone whose addresses were taken over by servers of the list, and returns them in the
// order in which they were found. All entries of the list have been applied to the pools.
func (s *serverPools) markReplaced(list *discovery.List) (replaced []*serverPool) {
	listed := make(map[string]bool, len(list.Endpoints))
	for i := range list.Endpoints {
		listed[list.Endpoints[i].ID] = true
	}
	for i := range list.Endpoints {
		pool := s.pools[list.Endpoints[i].ID]
		if pool == nil || pool.draining {
			continue
		}
		owner := s.byAddress[pool.address]
		if owner == nil || owner == pool || owner.draining || owner.address != pool.address {
			s.byAddress[pool.address] = pool
			continue
		}
		switch {
		case choice.TakesOverAddress(pool.startedAt, owner.startedAt, listed[owner.id]):
			s.byAddress[pool.address] = pool
			replaced = append(replaced, owner.replacedBy(pool))
		case listed[owner.id] && choice.TakesOverAddress(owner.startedAt, pool.startedAt, true):
			replaced = append(replaced, pool.replacedBy(owner))
		}
	}
	return replaced
}

// replacedBy marks the server as gone, since another listens at its address, and returns its pool.
func (p *serverPool) replacedBy(other *serverPool) *serverPool {
	slog.Info("server-replaced", "server", p.id, "by", other.id, "address", p.address)
	p.draining = true
	p.removed = true
	return p
}

// withReplaced returns the endpoints of a list with those of replaced servers as gone.
func withReplaced(endpoints []choice.Endpoint, replaced []*serverPool) []choice.Endpoint {
	for _, pool := range replaced {
		gone := choice.Endpoint{ID: pool.id, Zone: pool.location.zone, Cell: pool.location.cell, State: choice.EndpointGone}
		named := false
		for i := range endpoints {
			if endpoints[i].ID == pool.id {
				endpoints[i] = gone
				named = true
			}
		}
		if !named {
			endpoints = append(endpoints, gone)
		}
	}
	return endpoints
}

package choice

import (
	"cmp"
	"container/heap"
	"slices"
)

// indexGroup is the group of a serverIndex that holds a server.
type indexGroup uint8

const (
	groupNone    indexGroup = iota // not ready for new requests, with nothing in flight
	groupIdle                      // ready, healthy and warm, with nothing in flight
	groupWarming                   // as groupIdle, but still warming up
	groupActive                    // attempts in flight, or ready but unhealthy or not started yet: visited one by one
)

// serverIndex finds the servers that a request or a tick has to visit, so that their cost depends on the servers in use
// and not on the number of servers. Each server is in one group according to its state; update moves it there after a
// change.
type serverIndex struct {
	ready      int         // servers listed as ready
	idle       int         // servers in groupIdle
	warmingSum int64       // sum of startedAt over groupWarming, modulo 2^64
	warming    warmingHeap // servers in groupWarming
	active     []*server   // servers in groupActive, unordered
	gone       []*server   // servers that were listed as gone, each once
	ordered    []*server   // buffer that activeInOrder reuses
}

// indexEntry records where a serverIndex holds a server.
type indexEntry struct {
	group        indexGroup
	slot         int   // position in the active slice or the warming heap
	warmingSince int64 // startedAt as added to warmingSum
	countedReady bool  // counted in serverIndex.ready
	listedGone   bool  // contained in serverIndex.gone
}

// groupOf returns the group that a server belongs to.
func groupOf(now, slowStartWindow int64, s *server) indexGroup {
	switch {
	case len(s.attempts) > 0 || s.inFlight > 0 && s.state == EndpointReady:
		return groupActive
	case s.state != EndpointReady:
		return groupNone
	case s.health.state != healthy || s.startedAt > now:
		return groupActive
	case s.startedAt == 0 || now >= s.startedAt+slowStartWindow:
		return groupIdle
	}
	return groupWarming
}

// update puts a new or changed server into its group.
func (idx *serverIndex) update(now, slowStartWindow int64, s *server) {
	idx.remove(s)
	if s.state == EndpointReady {
		idx.ready++
		s.countedReady = true
	}
	if s.state == EndpointGone && !s.listedGone {
		idx.gone = append(idx.gone, s)
		s.listedGone = true
	}
	s.group = groupOf(now, slowStartWindow, s)
	switch s.group {
	case groupIdle:
		idx.idle++
	case groupWarming:
		s.warmingSince = s.startedAt
		idx.warmingSum += s.warmingSince
		heap.Push(&idx.warming, s)
	case groupActive:
		s.slot = len(idx.active)
		idx.active = append(idx.active, s)
	}
}

// remove removes a server from its group.
func (idx *serverIndex) remove(s *server) {
	if s.countedReady {
		idx.ready--
		s.countedReady = false
	}
	switch s.group {
	case groupIdle:
		idx.idle--
	case groupWarming:
		idx.warmingSum -= s.warmingSince
		heap.Remove(&idx.warming, s.slot)
	case groupActive:
		last := len(idx.active) - 1
		idx.active[s.slot] = idx.active[last]
		idx.active[s.slot].slot = s.slot
		idx.active[last] = nil
		idx.active = idx.active[:last]
	}
	s.group = groupNone
}

// finishWarming moves the servers that have warmed up from groupWarming to groupIdle.
func (idx *serverIndex) finishWarming(now, slowStartWindow int64) {
	for len(idx.warming) > 0 && now >= idx.warming[0].warmingSince+slowStartWindow {
		idx.update(now, slowStartWindow, idx.warming[0])
	}
}

// warmingAge returns the number of servers in groupWarming and their mean time since startedAt, in nanoseconds.
func (idx *serverIndex) warmingAge(now int64) (servers, age int64) {
	servers = int64(len(idx.warming))
	if servers > 0 {
		age = (servers*now - idx.warmingSum) / servers
	}
	return servers, age
}

// activeInOrder returns the active servers in ring order. The slice is valid until the next call.
func (idx *serverIndex) activeInOrder() []*server {
	idx.ordered = append(idx.ordered[:0], idx.active...)
	slices.SortFunc(idx.ordered, func(a, b *server) int { return cmp.Compare(a.ringIndex, b.ringIndex) })
	return idx.ordered
}

// ejected is the number of ready servers that are ejected.
func (idx *serverIndex) ejected() int {
	servers := 0
	for _, s := range idx.active {
		if s.state == EndpointReady && s.health.state == ejected {
			servers++
		}
	}
	return servers
}

// hasFinished reports whether some server is gone with nothing in flight. It first drops servers that have returned
// from the list of gone ones.
func (idx *serverIndex) hasFinished() bool {
	idx.gone = slices.DeleteFunc(idx.gone, func(s *server) bool {
		s.listedGone = s.state == EndpointGone
		return !s.listedGone
	})
	return slices.ContainsFunc(idx.gone, (*server).finished)
}

// deleteServer deletes a finished server from the index.
func (idx *serverIndex) deleteServer(finished *server) {
	idx.remove(finished)
	idx.gone = slices.DeleteFunc(idx.gone, func(s *server) bool { return s == finished })
}

// warmingHeap is a heap of servers by the time at which they started to warm up.
type warmingHeap []*server

// Len implements heap.Interface, as do Less, Swap, Push and Pop.
func (h warmingHeap) Len() int { return len(h) }

// Less orders servers by their start, the earliest first.
func (h warmingHeap) Less(i, j int) bool { return h[i].warmingSince < h[j].warmingSince }

// Swap exchanges two servers.
func (h warmingHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].slot = i
	h[j].slot = j
}

// Push appends a server; heap.Push calls it.
func (h *warmingHeap) Push(x any) {
	s := x.(*server)
	s.slot = len(*h)
	*h = append(*h, s)
}

// Pop removes the last server; heap.Pop calls it.
func (h *warmingHeap) Pop() any {
	last := len(*h) - 1
	s := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return s
}

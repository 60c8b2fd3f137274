package main

import (
	"fmt"
	"time"

	"ospreycroft/review/standin"
)

// Case 3: discovery is slow: each of its answers takes a second from its first byte to its last, in pieces.
const (
	slowFrom   = 5 * time.Second
	slowPieces = 9
	slowSpan   = time.Second
	drainedID  = "s-3"
	drainAt    = 9 * time.Second
	holdLimit  = 10 * time.Second // ask-every, for which a call may wait
	slowEnd    = 34 * time.Second
	drainGrace = 300 * time.Millisecond // of the settings, and 50 ms on sockets
)

// askForLists has the limiters ask discovery, which nobody is at hand to push changes for.
func askForLists(settings map[string]any) {
	settings["registry-mode"] = "on_request"
	settings["contract"].(map[string]any)["ask-every"] = holdLimit.Seconds()
}

// playSlowDiscovery judges the rule on drains. The change counts as told 6 s after discovery had it, or, for a call that
// may wait, 2 s after that wait is over; the later time is taken, for the latest call that can have begun before.
func playSlowDiscovery(w *world, trouble bool) (verdict, error) {
	usual := startLoad(60, w.usual("u", 6))
	w.until(slowFrom)
	if trouble {
		w.record.Linef("discovery is slow from now on")
		w.discovery.SetSlow(slowPieces, slowSpan)
	}
	w.until(drainAt)
	w.servers.Drain(drainedID)
	w.discovery.Terminate(drainedID)
	w.record.Linef("discovery has it that %s drains", drainedID)
	told := w.record.Now() + holdLimit + 2*time.Second
	w.until(slowEnd)
	usual.end()
	results := w.results()
	if err := w.check(); err != nil {
		return verdict{}, err
	}
	if served := count(results, standin.Served); served < len(results)/4 {
		return verdict{}, fmt.Errorf("only %d of %d requests were served", served, len(results))
	}
	before, since, late, last := 0, 0, 0, time.Duration(0)
	for _, a := range w.servers.Attempts() {
		switch {
		case a.Server != drainedID:
		case a.At < drainAt:
			before++
		case a.At <= told+drainGrace:
			since++
		default:
			late++
			last = a.At
			w.record.Linef("BREACH: %s got %s at %.3f s", drainedID, a.ID, a.At.Seconds())
		}
	}
	if before == 0 {
		return verdict{}, fmt.Errorf("%s got nothing before it drained", drainedID)
	}
	return verdict{late > 0, fmt.Sprintf(
		"%s drains at %.1f s, which counts as told at %.1f s at the latest; it got %d attempts before, %d until the grace was over, "+
			"%d after that, the last at %.2f s", drainedID, drainAt.Seconds(), told.Seconds(), before, since, late, last.Seconds())}, nil
}

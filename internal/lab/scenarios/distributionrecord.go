package scenarios

import (
	"errors"
	"fmt"
	"slices"

	"ospreycroft/internal/distribution"
	"ospreycroft/internal/lab/simfleet"
)

// forever is the end of an interval that is still open.
const forever = int64(1) << 62

// interval is a period of the fleet's clock, in nanoseconds.
type interval struct{ from, until int64 }

// publication is a published change of the discovery address.
type publication struct {
	at        int64
	discovery int // the number of the discovery service
}

// limiterRestart is a limiter's restart and its subscriber's condition at that moment.
type limiterRestart struct {
	limiter   int
	condition distribution.Condition
}

// distributionRecord holds what the checks need to know about the distribution besides the fleet's own record.
type distributionRecord struct {
	publications   []publication
	unreachable    [][]interval             // by limiter, when no change could reach it
	newestInForce  []distribution.Version   // by limiter
	refused        [][]distribution.Version // by limiter
	regressions    []string                 // descriptions of limiters that went back to an older version
	restarted      []limiterRestart
	invalidVersion distribution.Version // the version of the change with an invalid address
	firstWriterErr error                // the error of the fenced writer's publication
}

func newDistributionRecord(limiters int) distributionRecord {
	return distributionRecord{unreachable: make([][]interval, limiters),
		newestInForce: make([]distribution.Version, limiters), refused: make([][]distribution.Version, limiters)}
}

// recordStatus records a limiter's version in force, a step back to an older version and a refused version. It
// ignores peers that are not limiters.
func (n *network) recordStatus(p *peer) {
	if p.limiter < 0 {
		return
	}
	status := p.poller.Status(n.now())
	version, newestInForce := status.Version, &n.record.newestInForce[p.limiter]
	if version.Less(*newestInForce) && version != (distribution.Version{}) {
		n.record.regressions = append(n.record.regressions,
			fmt.Sprintf("%.3f s: %s went from version %v to %v", float64(n.now())/1e9, p.name, *newestInForce, version))
	}
	if newestInForce.Less(version) {
		*newestInForce = version
	}
	refused := &n.record.refused[p.limiter]
	if status.Refused != nil && !slices.Contains(*refused, status.Refused.Version) {
		*refused = append(*refused, status.Refused.Version)
	}
}

// recordReachability opens or closes each limiter's interval of unreachability. It must be called after each change
// of the partition, the relays or the limiters' processes.
func (n *network) recordReachability() {
	for i, p := range n.limiters {
		intervals := n.record.unreachable[i]
		last := len(intervals) - 1
		open := last >= 0 && intervals[last].until == forever
		switch reachable := n.reachable(p); {
		case reachable && open:
			intervals[last].until = n.now()
		case !reachable && !open:
			n.record.unreachable[i] = append(intervals, interval{n.now(), forever})
		}
	}
}

// deadline returns the time by which a change has to be in force at a limiter: within nanoseconds after its
// publication or, if the limiter is unreachable meanwhile, after it becomes reachable again. due is false if it stays
// unreachable.
func (r *distributionRecord) deadline(limiter int, published, within int64) (at int64, due bool) {
	at = published + within
	for _, s := range r.unreachable[limiter] {
		if s.from < at && s.until > at-within {
			if s.until == forever {
				return 0, false
			}
			at = s.until + within
		}
	}
	return at, true
}

// discoveryMove is a limiter's move to another discovery service, as the fleet recorded it.
type discoveryMove struct {
	at        int64
	limiter   int
	discovery int
}

// readMoves returns the limiters' moves to other discovery services, in the order of the fleet's record.
func readMoves(result *simfleet.Result) ([]discoveryMove, error) {
	var moves []discoveryMove
	for _, e := range result.Run.Events {
		if e.Kind != "hup" {
			continue
		}
		m := discoveryMove{at: e.At}
		var counter int
		if _, err := fmt.Sscanf(e.Detail, "agent-%d:%d counter:%d", &m.limiter, &m.discovery, &counter); err != nil {
			return nil, fmt.Errorf("cannot parse the reload event %q: %w", e.Detail, err)
		}
		moves = append(moves, m)
	}
	return moves, nil
}

var (
	errNoPublication = errors.New("no change was published")
	errNoneReachable = errors.New("no limiter was reachable")
)

// checkInForce returns an error if a published change, or a newer one, was not in force by its deadline at a limiter
// that was reachable. It also returns an error if there was nothing to check or the run ended before a deadline.
func (r *distributionRecord) checkInForce(result *simfleet.Result, within int64) error {
	moves, err := readMoves(result)
	if err != nil {
		return err
	}
	if len(r.publications) == 0 {
		return errNoPublication
	}
	checked := 0
	for limiter := range r.newestInForce {
		for _, change := range r.publications {
			deadline, due := r.deadline(limiter, change.at, within)
			if !due {
				continue
			}
			checked++
			if deadline > result.Run.Length {
				return fmt.Errorf("the run ends at %.3f s, before the deadline of the change published at %.3f s at limiter %d",
					float64(result.Run.Length)/1e9, float64(change.at)/1e9, limiter)
			}
			if !slices.ContainsFunc(moves, func(m discoveryMove) bool {
				return m.limiter == limiter && m.discovery >= change.discovery && m.at <= deadline
			}) {
				return fmt.Errorf("the change published at %.3f s was not in force at limiter %d at %.3f s",
					float64(change.at)/1e9, limiter, float64(deadline)/1e9)
			}
		}
	}
	if checked == 0 {
		return errNoneReachable
	}
	return nil
}

// checkNoRegression returns an error if a limiter went back to an older address by the fleet's record, or to an older
// version by its subscriber's status. It also returns an error if no limiter moved at all.
func (r *distributionRecord) checkNoRegression(result *simfleet.Result) error {
	moves, err := readMoves(result)
	if err != nil {
		return err
	}
	if len(moves) == 0 {
		return errors.New("no limiter moved")
	}
	newest := make([]int, len(r.newestInForce))
	for _, m := range moves {
		if m.discovery < newest[m.limiter] {
			return fmt.Errorf(
				"%.3f s: limiter %d went from discovery service %d back to %d",
				float64(m.at)/1e9,
				m.limiter,
				newest[m.limiter],
				m.discovery,
			)
		}
		newest[m.limiter] = m.discovery
	}
	if len(r.regressions) > 0 {
		return errors.New(r.regressions[0])
	}
	return nil
}

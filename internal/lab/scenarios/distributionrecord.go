package scenarios

import (
	"errors"
	"fmt"
	"slices"

	"ospreycroft/internal/distribution"
	"ospreycroft/internal/lab/simfleet"
)

const forever = int64(1) << 62

// interval is a time from one moment up to another.
type interval struct{ from, until int64 }

// publication is a change of discovery's address that the source took.
type publication struct {
	at        int64
	discovery int // the number of the list service that it names
}

// limiterRestart is a limiter that started again, and how its subscriber stood then.
type limiterRestart struct {
	limiter   int
	condition distribution.Condition
}

// distributionRecord is what a run of the distribution leaves beside the fleet's own record.
type distributionRecord struct {
	publications   []publication
	unreachable    [][]interval // of each limiter
	newestInForce  []distribution.Version
	refused        [][]distribution.Version // by each limiter
	regressions    []string                 // limiters that went back to an older version, in words
	restarted      []limiterRestart
	invalidVersion distribution.Version // of the change that no limiter can use
	firstWriterErr error                // what the older writer was told
}

func newDistributionRecord(limiters int) distributionRecord {
	return distributionRecord{unreachable: make([][]interval, limiters),
		newestInForce: make([]distribution.Version, limiters), refused: make([][]distribution.Version, limiters)}
}

// recordStatus records what a limiter's subscriber has in force and what it refused.
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

// recordReachability records from when and until when each limiter cannot be reached.
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

// deadline is until when a change has to be in force at a limiter: so long after its publication, or after the limiter
// can be reached again where it cannot meanwhile. due is false where the limiter stays out of reach.
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

// discoveryMove is a limiter's move to a list service, by the fleet's record.
type discoveryMove struct {
	at        int64
	limiter   int
	discovery int
}

// readMoves reads from a fleet's record which limiter moved when to which list service.
func readMoves(result *simfleet.Result) ([]discoveryMove, error) {
	var moves []discoveryMove
	for _, e := range result.Run.Events {
		if e.Kind != "hup" {
			continue
		}
		m := discoveryMove{at: e.At}
		var counter int
		if _, err := fmt.Sscanf(e.Detail, "agent-%d:%d counter:%d", &m.limiter, &m.discovery, &counter); err != nil {
			return nil, fmt.Errorf("a move to %q: %w", e.Detail, err)
		}
		moves = append(moves, m)
	}
	return moves, nil
}

var (
	errNoPublication = errors.New("no change was published")
	errNoneReachable = errors.New("no limiter could be reached")
)

// checkInForce tells where a change was not in force in time.
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
				return fmt.Errorf("the run ends at %.3f s, before the deadline of the change of %.3f s at limiter %d",
					float64(result.Run.Length)/1e9, float64(change.at)/1e9, limiter)
			}
			if !slices.ContainsFunc(moves, func(m discoveryMove) bool {
				return m.limiter == limiter && m.discovery >= change.discovery && m.at <= deadline
			}) {
				return fmt.Errorf("the change of %.3f s was not in force at limiter %d at %.3f s",
					float64(change.at)/1e9, limiter, float64(deadline)/1e9)
			}
		}
	}
	if checked == 0 {
		return errNoneReachable
	}
	return nil
}

// checkNoRegression tells which limiter went back, by the fleet's record or by its subscriber.
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
				"%.3f s: limiter %d went from list service %d to %d",
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

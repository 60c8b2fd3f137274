package scenarios

import (
	"errors"
	"fmt"
	"slices"

	"ospreycroft/internal/distribution"
	"ospreycroft/internal/lab/simfleet"
)

const forever = int64(1) << 62

// span is a time from one moment up to another.
type span struct{ from, until int64 }

// publication is a change of discovery's address that the source took.
type publication struct {
	at   int64
	list int // the number of the list service that it names
}

// restart is a limiter that started again, and how its subscriber stood then.
type restart struct {
	limiter   int
	condition distribution.Condition
}

// distributionRecord is what a run of the distribution leaves beside the fleet's own record.
type distributionRecord struct {
	publications []publication
	unreached    [][]span // of each limiter
	newest       []distribution.Version
	refused      [][]distribution.Version // by each limiter
	backward     []string                 // limiters that went back to an older version, in words
	restarted    []restart
	unfit        distribution.Version // of the change that no limiter can use
	fenced       error                // what the older writer was told
}

func newDistributionRecord(limiters int) distributionRecord {
	return distributionRecord{unreached: make([][]span, limiters), newest: make([]distribution.Version, limiters),
		refused: make([][]distribution.Version, limiters)}
}

// note records what a limiter's subscriber has in force and what it refused.
func (n *network) note(p *peer) {
	if p.limiter < 0 {
		return
	}
	status := p.poller.Status(n.now())
	version, newest := status.Version, &n.record.newest[p.limiter]
	if version.Less(*newest) && version != (distribution.Version{}) {
		n.record.backward = append(n.record.backward,
			fmt.Sprintf("%.3f s: %s went from version %v to %v", float64(n.now())/1e9, p.name, *newest, version))
	}
	if newest.Less(version) {
		*newest = version
	}
	refused := &n.record.refused[p.limiter]
	if status.Refused != nil && !slices.Contains(*refused, status.Refused.Version) {
		*refused = append(*refused, status.Refused.Version)
	}
}

// noteReach records from when and until when each limiter cannot be reached.
func (n *network) noteReach() {
	for i, p := range n.limiters {
		spans := n.record.unreached[i]
		last := len(spans) - 1
		outside := last >= 0 && spans[last].until == forever
		switch reached := n.reached(p); {
		case reached && outside:
			spans[last].until = n.now()
		case !reached && !outside:
			n.record.unreached[i] = append(spans, span{n.now(), forever})
		}
	}
}

// deadline is until when a change has to be in force at a limiter: so long after its publication, or after the limiter
// can be reached again where it cannot meanwhile. due is false where the limiter stays out of reach.
func (r *distributionRecord) deadline(limiter int, published, within int64) (at int64, due bool) {
	at = published + within
	for _, s := range r.unreached[limiter] {
		if s.from < at && s.until > at-within {
			if s.until == forever {
				return 0, false
			}
			at = s.until + within
		}
	}
	return at, true
}

// moved is a limiter's move to a list service, by the fleet's record.
type moved struct {
	at      int64
	limiter int
	list    int
}

// movesOf reads from a fleet's record which limiter moved when to which list service.
func movesOf(result *simfleet.Result) ([]moved, error) {
	var moves []moved
	for _, e := range result.Run.Events {
		if e.Kind != "hup" {
			continue
		}
		m := moved{at: e.At}
		var counter int
		if _, err := fmt.Sscanf(e.Detail, "agent-%d:%d counter:%d", &m.limiter, &m.list, &counter); err != nil {
			return nil, fmt.Errorf("a move to %q: %w", e.Detail, err)
		}
		moves = append(moves, m)
	}
	return moves, nil
}

var (
	errNoPublication = errors.New("no change was published")
	errNoneReached   = errors.New("no limiter could be reached")
)

// inForce tells where a change was not in force in time.
func (r *distributionRecord) inForce(result *simfleet.Result, within int64) error {
	moves, err := movesOf(result)
	if err != nil {
		return err
	}
	if len(r.publications) == 0 {
		return errNoPublication
	}
	counted := 0
	for limiter := range r.newest {
		for _, change := range r.publications {
			deadline, due := r.deadline(limiter, change.at, within)
			if !due {
				continue
			}
			counted++
			if deadline > result.Run.Length {
				return fmt.Errorf("the run ends at %.3f s, before the deadline of the change of %.3f s at limiter %d",
					float64(result.Run.Length)/1e9, float64(change.at)/1e9, limiter)
			}
			if !slices.ContainsFunc(moves, func(m moved) bool {
				return m.limiter == limiter && m.list >= change.list && m.at <= deadline
			}) {
				return fmt.Errorf("the change of %.3f s was not in force at limiter %d at %.3f s",
					float64(change.at)/1e9, limiter, float64(deadline)/1e9)
			}
		}
	}
	if counted == 0 {
		return errNoneReached
	}
	return nil
}

// wentBack tells which limiter went back, by the fleet's record or by its subscriber.
func (r *distributionRecord) wentBack(result *simfleet.Result) error {
	moves, err := movesOf(result)
	if err != nil {
		return err
	}
	if len(moves) == 0 {
		return errors.New("no limiter moved")
	}
	newest := make([]int, len(r.newest))
	for _, m := range moves {
		if m.list < newest[m.limiter] {
			return fmt.Errorf(
				"%.3f s: limiter %d went from list service %d to %d",
				float64(m.at)/1e9,
				m.limiter,
				newest[m.limiter],
				m.list,
			)
		}
		newest[m.limiter] = m.list
	}
	if len(r.backward) > 0 {
		return errors.New(r.backward[0])
	}
	return nil
}

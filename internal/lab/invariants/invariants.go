// Package invariants judges a lab run by the five rules, from the clients' and the servers' records and not from any
// limiter's word. It does no I/O: a run's records go in, a verdict comes out.
package invariants

import (
	"fmt"
	"sort"
	"time"

	"ospreycroft/choice"
	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/settings"
)

// Terms are the allowances the rules are judged with, in nanoseconds.
type Terms struct {
	Late       int64   // an answer may come so long after the deadline (the wire's own 50 ms)
	Grace      int64   // an attempt may begin so long after a drain notice
	Slack      int64   // a ceiling may be passed by what its rate gives in so long
	SlackShare float64 // and by this share of it, in rate and at once
	SlackUnits float64 // or by so many units at once, where that is more
	// LeaveGrace is how long after its client has left an attempt may begin, and TimeLeftSlack by how much the time that an
	// attempt tells its server may pass what its client has left; 0 where these are not judged, as where links to servers
	// delay what is sent.
	LeaveGrace    int64
	TimeLeftSlack int64
}

// Breach is one broken rule, with the request or server at fault.
type Breach struct {
	Rule   int    `json:"rule"`
	At     int64  `json:"at"`
	What   string `json:"what"`
	Detail string `json:"detail"`
}

// Verdict is the judgement of a run.
type Verdict struct {
	Pass     bool                    `json:"pass"`
	Requests int                     `json:"jobs"`
	Outcomes map[history.Outcome]int `json:"outcomes"`
	Killed   int                     `json:"killed"` // unanswered requests that were on a limiter when it was killed
	// requests without an answer in time while the clients' link had a fault
	CutOff int `json:"cut_off"`
	// requests without an answer in time that were on a limiter while SIGSTOP held it
	Stopped  int      `json:"stopped"`
	Attempts int      `json:"shots"`
	Breaches []Breach `json:"breaches"`
	// breaches by rule, 1 to 5; at 0, limiters that failed by themselves
	Counts  [6]int  `json:"counts"`
	Service Service `json:"service"`
}

// Line is the verdict in one line, as the tool prints it.
func (v *Verdict) Line() string {
	word := "pass"
	if !v.Pass {
		word = "FAIL"
	}
	return fmt.Sprintf(
		"verdict=%s requests=%d succeeded=%d rejected=%d failed=%d killed=%d cut-off=%d stopped=%d attempts=%d "+
			"rule1=%d rule2=%d rule3=%d rule4=%d rule5=%d failed-limiters=%d",
		word,
		v.Requests,
		v.Outcomes[history.Succeeded],
		v.Outcomes[history.Rejected],
		v.Outcomes[history.Failed],
		v.Killed,
		v.CutOff,
		v.Stopped,
		v.Attempts,
		v.Counts[1],
		v.Counts[2],
		v.Counts[3],
		v.Counts[4],
		v.Counts[5],
		v.Counts[0],
	)
}

// mostKept is how many breaches of each rule the verdict lists; the counts hold all.
const mostKept = 20

func (v *Verdict) breach(b Breach) {
	v.Counts[b.Rule]++
	if v.Counts[b.Rule] <= mostKept {
		v.Breaches = append(v.Breaches, b)
	}
}

// Judge applies the five rules to the records of clients, servers and the timeline alone: a change of the list counts
// as told to all limiters when the timeline made it.
func Judge(
	jobs []history.Request,
	shots []history.Attempt,
	events []history.Event,
	set *settings.Settings,
	t Terms,
) *Verdict {
	return JudgeRun(&history.Run{Requests: jobs, Attempts: shots, Events: events}, set, t)
}

// JudgeRun applies the five rules to a run's whole record; rule 3 goes by the list's clock for each limiter.
func JudgeRun(r *history.Run, set *settings.Settings, t Terms) *Verdict {
	jobs := r.Requests
	shots := r.Attempts
	events := r.Events
	v := &Verdict{Requests: len(jobs), Outcomes: map[history.Outcome]int{}, Attempts: len(shots)}
	sort.SliceStable(shots, func(i, j int) bool { return shots[i].At < shots[j].At })
	byID := map[string]*history.Request{}
	for i := range jobs {
		byID[jobs[i].ID] = &jobs[i]
	}
	for _, e := range events {
		if failures[e.Kind] {
			v.breach(Breach{Rule: 0, At: e.At, What: e.Target, Detail: e.Kind + ": " + e.Detail})
		}
	}
	kills, stops := downs(events, "kill", "restart"), downs(events, "stop", "continue")
	cuts := map[int][]history.LinkFault{}
	excused := map[string]bool{}
	for _, c := range r.LinkFaults {
		cuts[c.Limiter] = append(cuts[c.Limiter], c)
	}
	for _, j := range jobs {
		v.Outcomes[j.Outcome]++
		if hit := cutOff(j, cuts[j.Limiter], t); hit {
			excused[j.ID] = true
			if !clean[j.Outcome] || j.Answered > j.Deadline {
				v.CutOff++
			}
			continue
		}
		if clean[j.Outcome] && j.Answered <= j.Deadline+t.Late || !stoppedOn(j, stops) {
			answered(v, j, kills, t)
		} else {
			v.Stopped++
		}
	}
	crossed(v, shots, byID)
	departures(v, shots, byID, t)
	once(v, shots, byID, excused, set, t)
	drains(v, r, byID, t)
	for _, s := range shots {
		if s.Overloaded {
			v.breach(Breach{Rule: 4, At: s.At, What: s.Server, Detail: "began over what the cold server bore"})
		}
	}
	falls(v, r, byID)
	ceilings(v, shots, byID, set, t)
	v.Service = ServiceOf(r, t)
	v.Pass = v.Counts == [6]int{}
	return v
}

// failures are the events by which a limiter fails a run, whatever it did with requests.
var failures = map[string]bool{"never-started": true, "never-ready": true, "crash": true, "not-together": true}

// crossed is the part of rule 1 that a client cannot see. A request whose connection ended at once was sent again, as
// if no limiter had read it; an attempt of it that began before shows that one had, and let it go without an answer.
func crossed(v *Verdict, shots []history.Attempt, byID map[string]*history.Request) {
	seen := map[string]bool{}
	for _, s := range shots {
		if j := byID[s.ID]; j != nil && j.Resent && s.At < j.Sent && !seen[s.ID] {
			seen[s.ID] = true
			v.breach(
				Breach{Rule: 1, At: s.At, What: s.ID, Detail: "sent on, then its connection was ended with no answer"},
			)
		}
	}
}

// departures is the part of rule 1 about clients' time: no attempt begins once its client has left, or tells its server of
// more time than its client has.
func departures(v *Verdict, shots []history.Attempt, byID map[string]*history.Request, t Terms) {
	for _, s := range shots {
		j := byID[s.ID]
		if j == nil {
			continue
		}
		if t.LeaveGrace > 0 && j.Outcome == history.GaveUp && s.At > j.Answered+t.LeaveGrace {
			v.breach(Breach{Rule: 1, At: s.At, What: s.ID,
				Detail: fmt.Sprintf("an attempt began %d ms after its client had left", (s.At-j.Answered)/1e6)})
		}
		if over := s.At + s.TimeLeft - j.Deadline; t.TimeLeftSlack > 0 && s.TimeLeft > 0 && over > t.TimeLeftSlack {
			v.breach(Breach{Rule: 1, At: s.At, What: s.ID,
				Detail: fmt.Sprintf("its server was told %d ms more than its client had left", over/1e6)})
		}
	}
}

// down is a time in which a limiter was dead or stopped: from its kill to its restart (forever if none came).
type down struct{ from, until int64 }

// downs is when each limiter was down, from events of one kind to those of another.
func downs(events []history.Event, from, until string) map[string][]down {
	out := map[string][]down{}
	for _, e := range events {
		switch held := out[e.Target]; {
		case e.Kind == from:
			out[e.Target] = append(held, down{e.At, 1<<63 - 1})
		case e.Kind == until && len(held) > 0:
			held[len(held)-1].until = min(held[len(held)-1].until, e.At)
		}
	}
	return out
}

// stoppedOn tells whether a request was under way while its limiter was stopped: a stopped process cannot answer. What
// it sends on once it goes on is judged as ever.
func stoppedOn(j history.Request, stops map[string][]down) bool {
	for _, d := range stops[limiterTarget(j.Limiter)] {
		if d.from <= j.Answered && d.until >= j.Sent {
			return true
		}
	}
	return false
}

// clean are the outcomes that break nothing by themselves.
var clean = map[history.Outcome]bool{
	history.NotAccepted: true,
	history.Succeeded:   true,
	history.Rejected:    true,
	history.Failed:      true,
	history.GaveUp:      true,
}

// cutOff tells whether a request was under way while the clients' link to its limiter had a fault: what came of it at
// the client, and when it came to the limiter, is not the limiter's doing then.
func cutOff(j history.Request, cuts []history.LinkFault, t Terms) bool {
	for _, c := range cuts {
		if c.From <= j.Answered && (c.Until == 0 || c.Until+t.Late >= j.Sent) {
			return true
		}
	}
	return false
}

// answered is rule 1 from the client's side: one answer, in time.
func answered(v *Verdict, j history.Request, kills map[string][]down, t Terms) {
	switch j.Outcome {
	case history.NotAccepted:
		return
	case history.Succeeded, history.Rejected, history.Failed, history.GaveUp:
		if j.Answered > j.Deadline+t.Late {
			v.breach(Breach{Rule: 1, At: j.Answered, What: j.ID, Detail: "answered after its cut-off"})
		}
		return
	}
	for _, d := range kills[limiterTarget(j.Limiter)] {
		if d.from <= j.Answered && d.until >= j.Sent { // what a dead limiter held, or was sent, is lost
			v.Killed++
			return
		}
	}
	detail := string(j.Outcome)
	if j.Outcome == history.Late {
		detail += fmt.Sprintf(" by %v, %v of its time unread", time.Duration(j.Answered-j.Deadline), time.Duration(j.AnswerUnread))
	}
	v.breach(Breach{Rule: 1, At: j.Deadline, What: j.ID, Detail: detail})
}

// once is rule 2 from the servers' side, and the half of rule 1 that says nothing is sent after the deadline.
func once(
	v *Verdict,
	shots []history.Attempt,
	byID map[string]*history.Request,
	excused map[string]bool,
	set *settings.Settings,
	t Terms,
) {
	ran := map[string]history.Attempt{} // a request's first attempt that may have had its effect
	for _, s := range shots {
		j := byID[s.ID]
		if j != nil && s.At > j.Deadline+t.Late && !excused[s.ID] {
			v.breach(Breach{Rule: 1, At: s.At, What: s.ID, Detail: "an attempt began after the client's cut-off"})
		}
		track := set.Classes[s.Class]
		if track == nil || track.Idempotency == choice.Idempotent {
			continue
		}
		if first, seen := ran[s.ID]; seen {
			if track.Idempotency == choice.NonIdempotent || first.Group != s.Group || s.Key == "" {
				v.breach(Breach{Rule: 2, At: s.At, What: s.ID,
					Detail: fmt.Sprintf("attempt at %s after one at %s that may have run", s.Server, first.Server)})
			}
			continue
		}
		if s.MayHaveRun {
			ran[s.ID] = s
		}
	}
	// A non-idempotent request may be rejected only while every attempt of it is known not to have run.
	ids := make([]string, 0, len(ran))
	for id := range ran {
		ids = append(ids, id)
	}
	sort.Strings(ids) // breaches in one order every run
	for _, id := range ids {
		first := ran[id]
		if j := byID[id]; j != nil && j.Outcome == history.Rejected && set.Classes[j.Class] != nil &&
			set.Classes[j.Class].Idempotency == choice.NonIdempotent {
			v.breach(Breach{Rule: 2, At: j.Answered, What: id,
				Detail: fmt.Sprintf("rejected after an attempt at %s that may have run", first.Server)})
		}
	}
}

// ceilings is rule 5: what reached servers for one customer, each request counted at its first attempt, kept in a
// bucket that drains at the plan's hard rate; its depth may not pass the ceiling's depth and slack.
func ceilings(v *Verdict, shots []history.Attempt, byID map[string]*history.Request, set *settings.Settings, t Terms) {
	type bucket struct {
		level float64
		at    int64
	}
	buckets := map[string]*bucket{}
	counted := map[string]bool{}
	for _, s := range shots {
		j := byID[s.ID]
		if j == nil || counted[s.ID] || s.Answer == "busy" {
			continue
		}
		counted[s.ID] = true
		plan := set.Plans[j.Plan]
		if plan == nil || plan.CeilingRate <= 0 {
			continue
		}
		b := buckets[j.Customer]
		if b == nil {
			b = &bucket{at: s.At}
			buckets[j.Customer] = b
		}
		rate := plan.CeilingRate * (1 + t.SlackShare)
		b.level = max(0, b.level-rate*float64(s.At-b.at)/1e9) + j.Units
		b.at = s.At
		depth := max(plan.CeilingBurst*(1+t.SlackShare), plan.CeilingBurst+t.SlackUnits)
		if most := depth + plan.CeilingRate*float64(t.Slack)/1e9; b.level > most {
			v.breach(Breach{Rule: 5, At: s.At, What: j.Customer,
				Detail: fmt.Sprintf("%.1f units held against a ceiling of %.1f", b.level, most)})
		}
	}
}

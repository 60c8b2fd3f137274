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

// maxListedBreaches is how many breaches of each rule the verdict lists; the counts hold all.
const maxListedBreaches = 20

func (v *Verdict) addBreach(b Breach) {
	v.Counts[b.Rule]++
	if v.Counts[b.Rule] <= maxListedBreaches {
		v.Breaches = append(v.Breaches, b)
	}
}

// Judge applies the five rules to the records of clients, servers and the timeline alone: a change of the list counts
// as told to all limiters when the timeline made it.
func Judge(
	requests []history.Request,
	attempts []history.Attempt,
	events []history.Event,
	set *settings.Settings,
	t Terms,
) *Verdict {
	return JudgeRun(&history.Run{Requests: requests, Attempts: attempts, Events: events}, set, t)
}

// JudgeRun applies the five rules to a run's whole record; rule 3 goes by the list's clock for each limiter.
func JudgeRun(r *history.Run, set *settings.Settings, t Terms) *Verdict {
	requests := r.Requests
	attempts := r.Attempts
	events := r.Events
	v := &Verdict{Requests: len(requests), Outcomes: map[history.Outcome]int{}, Attempts: len(attempts)}
	sort.SliceStable(attempts, func(i, j int) bool { return attempts[i].At < attempts[j].At })
	byID := map[string]*history.Request{}
	for i := range requests {
		byID[requests[i].ID] = &requests[i]
	}
	for _, e := range events {
		if limiterFailures[e.Kind] {
			v.addBreach(Breach{Rule: 0, At: e.At, What: e.Target, Detail: e.Kind + ": " + e.Detail})
		}
	}
	kills, stops := downtimes(events, "kill", "restart"), downtimes(events, "stop", "continue")
	linkFaults := map[int][]history.LinkFault{}
	excused := map[string]bool{}
	for _, fault := range r.LinkFaults {
		linkFaults[fault.Limiter] = append(linkFaults[fault.Limiter], fault)
	}
	for _, request := range requests {
		v.Outcomes[request.Outcome]++
		if affected := affectedByLinkFault(request, linkFaults[request.Limiter], t); affected {
			excused[request.ID] = true
			if !acceptableOutcomes[request.Outcome] || request.Answered > request.Deadline {
				v.CutOff++
			}
			continue
		}
		if acceptableOutcomes[request.Outcome] && request.Answered <= request.Deadline+t.Late || !stoppedDuring(request, stops) {
			checkAnswer(v, request, kills, t)
		} else {
			v.Stopped++
		}
	}
	checkResent(v, attempts, byID)
	checkClientTime(v, attempts, byID, t)
	checkExecutedOnce(v, attempts, byID, excused, set, t)
	checkDrains(v, r, byID, t)
	for _, attempt := range attempts {
		if attempt.Overloaded {
			v.addBreach(Breach{Rule: 4, At: attempt.At, What: attempt.Server, Detail: "began over what the cold server bore"})
		}
	}
	checkOverloadCrashes(v, r, byID)
	checkCeilings(v, attempts, byID, set, t)
	v.Service = ServiceOf(r, t)
	v.Pass = v.Counts == [6]int{}
	return v
}

// limiterFailures are the events by which a limiter fails a run, whatever it did with requests.
var limiterFailures = map[string]bool{"never-started": true, "never-ready": true, "crash": true, "not-together": true}

// checkResent is the part of rule 1 that a client cannot see. A request whose connection ended at once was sent again, as
// if no limiter had read it; an attempt of it that began before shows that one had, and let it go without an answer.
func checkResent(v *Verdict, attempts []history.Attempt, byID map[string]*history.Request) {
	seen := map[string]bool{}
	for _, attempt := range attempts {
		if request := byID[attempt.ID]; request != nil && request.Resent && attempt.At < request.Sent && !seen[attempt.ID] {
			seen[attempt.ID] = true
			v.addBreach(
				Breach{Rule: 1, At: attempt.At, What: attempt.ID, Detail: "sent on, then its connection was ended with no answer"},
			)
		}
	}
}

// checkClientTime is the part of rule 1 about clients' time: no attempt begins once its client has left, or tells its server of
// more time than its client has.
func checkClientTime(v *Verdict, attempts []history.Attempt, byID map[string]*history.Request, t Terms) {
	for _, attempt := range attempts {
		request := byID[attempt.ID]
		if request == nil {
			continue
		}
		if t.LeaveGrace > 0 && request.Outcome == history.GaveUp && attempt.At > request.Answered+t.LeaveGrace {
			v.addBreach(Breach{Rule: 1, At: attempt.At, What: attempt.ID,
				Detail: fmt.Sprintf("an attempt began %d ms after its client had left", (attempt.At-request.Answered)/1e6)})
		}
		if excess := attempt.At + attempt.TimeLeft - request.Deadline; t.TimeLeftSlack > 0 && attempt.TimeLeft > 0 && excess > t.TimeLeftSlack {
			v.addBreach(Breach{Rule: 1, At: attempt.At, What: attempt.ID,
				Detail: fmt.Sprintf("its server was told %d ms more than its client had left", excess/1e6)})
		}
	}
}

// downtime is a time in which a limiter was dead or stopped: from its kill to its restart (forever if none came).
type downtime struct{ from, until int64 }

// downtimes is when each limiter was down, from events of one kind to those of another.
func downtimes(events []history.Event, from, until string) map[string][]downtime {
	out := map[string][]downtime{}
	for _, e := range events {
		switch periods := out[e.Target]; {
		case e.Kind == from:
			out[e.Target] = append(periods, downtime{e.At, 1<<63 - 1})
		case e.Kind == until && len(periods) > 0:
			periods[len(periods)-1].until = min(periods[len(periods)-1].until, e.At)
		}
	}
	return out
}

// stoppedDuring tells whether a request was under way while its limiter was stopped: a stopped process cannot answer. What
// it sends on once it goes on is judged as ever.
func stoppedDuring(request history.Request, stops map[string][]downtime) bool {
	for _, d := range stops[limiterTarget(request.Limiter)] {
		if d.from <= request.Answered && d.until >= request.Sent {
			return true
		}
	}
	return false
}

// acceptableOutcomes are the outcomes that break nothing by themselves.
var acceptableOutcomes = map[history.Outcome]bool{
	history.NotAccepted: true,
	history.Succeeded:   true,
	history.Rejected:    true,
	history.Failed:      true,
	history.GaveUp:      true,
}

// affectedByLinkFault tells whether a request was under way while the clients' link to its limiter had a fault: what came of it at
// the client, and when it came to the limiter, is not the limiter's doing then.
func affectedByLinkFault(request history.Request, faults []history.LinkFault, t Terms) bool {
	for _, fault := range faults {
		if fault.From <= request.Answered && (fault.Until == 0 || fault.Until+t.Late >= request.Sent) {
			return true
		}
	}
	return false
}

// checkAnswer is rule 1 from the client's side: one answer, in time.
func checkAnswer(v *Verdict, request history.Request, kills map[string][]downtime, t Terms) {
	switch request.Outcome {
	case history.NotAccepted:
		return
	case history.Succeeded, history.Rejected, history.Failed, history.GaveUp:
		if request.Answered > request.Deadline+t.Late {
			v.addBreach(Breach{Rule: 1, At: request.Answered, What: request.ID, Detail: "answered after its cut-off"})
		}
		return
	}
	for _, d := range kills[limiterTarget(request.Limiter)] {
		if d.from <= request.Answered && d.until >= request.Sent { // what a dead limiter held, or was sent, is lost
			v.Killed++
			return
		}
	}
	detail := string(request.Outcome)
	if request.Outcome == history.Late {
		detail += fmt.Sprintf(" by %v, %v of its time unread", time.Duration(request.Answered-request.Deadline), time.Duration(request.AnswerUnread))
	}
	v.addBreach(Breach{Rule: 1, At: request.Deadline, What: request.ID, Detail: detail})
}

// checkExecutedOnce is rule 2 from the servers' side, and the half of rule 1 that says nothing is sent after the deadline.
func checkExecutedOnce(
	v *Verdict,
	attempts []history.Attempt,
	byID map[string]*history.Request,
	excused map[string]bool,
	set *settings.Settings,
	t Terms,
) {
	mayHaveRun := map[string]history.Attempt{} // a request's first attempt that may have had its effect
	for _, attempt := range attempts {
		request := byID[attempt.ID]
		if request != nil && attempt.At > request.Deadline+t.Late && !excused[attempt.ID] {
			v.addBreach(Breach{Rule: 1, At: attempt.At, What: attempt.ID, Detail: "an attempt began after the client's cut-off"})
		}
		class := set.Classes[attempt.Class]
		if class == nil || class.Idempotency == choice.Idempotent {
			continue
		}
		if first, seen := mayHaveRun[attempt.ID]; seen {
			if class.Idempotency == choice.NonIdempotent || first.Group != attempt.Group || attempt.Key == "" {
				v.addBreach(Breach{Rule: 2, At: attempt.At, What: attempt.ID,
					Detail: fmt.Sprintf("attempt at %s after one at %s that may have run", attempt.Server, first.Server)})
			}
			continue
		}
		if attempt.MayHaveRun {
			mayHaveRun[attempt.ID] = attempt
		}
	}
	// A non-idempotent request may be rejected only while every attempt of it is known not to have run.
	ids := make([]string, 0, len(mayHaveRun))
	for id := range mayHaveRun {
		ids = append(ids, id)
	}
	sort.Strings(ids) // breaches in one order every run
	for _, id := range ids {
		first := mayHaveRun[id]
		if request := byID[id]; request != nil && request.Outcome == history.Rejected && set.Classes[request.Class] != nil &&
			set.Classes[request.Class].Idempotency == choice.NonIdempotent {
			v.addBreach(Breach{Rule: 2, At: request.Answered, What: id,
				Detail: fmt.Sprintf("rejected after an attempt at %s that may have run", first.Server)})
		}
	}
}

// checkCeilings is rule 5: what reached servers for one customer, each request counted at its first attempt, kept in a
// bucket that drains at the plan's hard rate; its depth may not pass the ceiling's depth and slack.
func checkCeilings(v *Verdict, attempts []history.Attempt, byID map[string]*history.Request, set *settings.Settings, t Terms) {
	type bucket struct {
		level float64
		at    int64
	}
	buckets := map[string]*bucket{}
	counted := map[string]bool{}
	for _, attempt := range attempts {
		request := byID[attempt.ID]
		if request == nil || counted[attempt.ID] || attempt.Answer == "busy" {
			continue
		}
		counted[attempt.ID] = true
		plan := set.Plans[request.Plan]
		if plan == nil || plan.CeilingRate <= 0 {
			continue
		}
		b := buckets[request.Customer]
		if b == nil {
			b = &bucket{at: attempt.At}
			buckets[request.Customer] = b
		}
		rate := plan.CeilingRate * (1 + t.SlackShare)
		b.level = max(0, b.level-rate*float64(attempt.At-b.at)/1e9) + request.Units
		b.at = attempt.At
		depth := max(plan.CeilingBurst*(1+t.SlackShare), plan.CeilingBurst+t.SlackUnits)
		if limit := depth + plan.CeilingRate*float64(t.Slack)/1e9; b.level > limit {
			v.addBreach(Breach{Rule: 5, At: attempt.At, What: request.Customer,
				Detail: fmt.Sprintf("%.1f units held against a ceiling of %.1f", b.level, limit)})
		}
	}
}

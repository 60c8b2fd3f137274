// Package invariants checks the record of a lab run against five rules:
//
//  1. Each request gets one answer in time, and no attempt of it begins after its deadline.
//  2. A request that is not idempotent is executed at most once, and a request with an idempotency key is retried only
//     within one group of servers.
//  3. A server that drains or is gone gets no attempt after the grace period.
//  4. A server that is warming up is not overloaded.
//  5. A customer's units stay within the ceiling of its plan.
//
// It relies on the records of clients and servers, not on what a limiter reports, and does no I/O.
package invariants

import (
	"fmt"
	"sort"
	"time"

	"ospreycroft/choice"
	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/settings"
)

// Tolerances are the tolerances of the rules. Durations are in nanoseconds. A field that is 0 allows no tolerance,
// except as stated.
type Tolerances struct {
	Late       int64   // how long after the deadline an answer may come; the protocol allows 50 ms
	Grace      int64   // how long after the notification of a drain an attempt may begin
	Slack      int64   // duration; a ceiling may be exceeded by the units that its rate allows in it
	SlackShare float64 // share by which the ceiling's rate and burst may also be exceeded
	SlackUnits float64 // units by which the burst may be exceeded, if more than SlackShare of it
	// LeaveGrace is how long after its client has disconnected an attempt may begin. 0 skips the check, as for runs in
	// which the links to servers add delay.
	LeaveGrace int64
	// TimeLeftSlack is by how much the remaining time that an attempt states to its server may exceed the client's
	// remaining time. 0 skips the check, for the same reason.
	TimeLeftSlack int64
}

// Breach is one violation of a rule.
type Breach struct {
	Rule   int    `json:"rule"` // 1 to 5; 0 for a limiter that failed by itself
	At     int64  `json:"at"`   // nanoseconds on the run's clock
	What   string `json:"what"` // the request, server, customer or limiter concerned
	Detail string `json:"detail"`
}

// Verdict is the result of checking a run.
type Verdict struct {
	Pass     bool                    `json:"pass"`
	Requests int                     `json:"jobs"`
	Outcomes map[history.Outcome]int `json:"outcomes"`
	Killed   int                     `json:"killed"` // unanswered requests that a limiter held when it was killed
	// requests without an answer in time while the clients' link to the limiter had a fault
	CutOff int `json:"cut_off"`
	// requests without an answer in time that a limiter held while it was stopped by SIGSTOP
	Stopped  int      `json:"stopped"`
	Attempts int      `json:"shots"`
	Breaches []Breach `json:"breaches"`
	// breaches by rule; at index 0, limiters that failed by themselves
	Counts  [6]int  `json:"counts"`
	Service Service `json:"service"`
}

// Line returns the verdict as one line of text, as testlab prints it.
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

// maxListedBreaches is the largest number of breaches that a verdict lists for one rule. Counts includes all of them.
const maxListedBreaches = 20

// addBreach counts a breach, and lists it unless its rule has maxListedBreaches already.
func (v *Verdict) addBreach(b Breach) {
	v.Counts[b.Rule]++
	if v.Counts[b.Rule] <= maxListedBreaches {
		v.Breaches = append(v.Breaches, b)
	}
}

// Judge checks a run of which only requests, attempts and events are known. Each limiter counts as notified of a change
// of the endpoint list at the time of the change.
func Judge(
	requests []history.Request,
	attempts []history.Attempt,
	events []history.Event,
	set *settings.Settings,
	t Tolerances,
) *Verdict {
	return JudgeRun(&history.Run{Requests: requests, Attempts: attempts, Events: events}, set, t)
}

// JudgeRun checks the complete record of a run. It sorts the record's attempts by time. Rules 3 and 4 take into account
// when each limiter was notified of a change of the endpoint list.
func JudgeRun(r *history.Run, set *settings.Settings, t Tolerances) *Verdict {
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
		if acceptableOutcomes[request.Outcome] && request.Answered <= request.Deadline+t.Late ||
			!stoppedDuring(request, stops) {
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
			v.addBreach(Breach{Rule: 4, At: attempt.At, What: attempt.Server,
				Detail: "began over what the cold server bore"})
		}
	}
	checkOverloadCrashes(v, r, byID)
	checkCeilings(v, attempts, byID, set, t)
	v.Service = ServiceOf(r, t)
	v.Pass = v.Counts == [6]int{}
	return v
}

// limiterFailures are the kinds of events that fail a run, however the requests ended.
var limiterFailures = map[string]bool{"never-started": true, "never-ready": true, "crash": true, "not-together": true}

// checkResent checks the part of rule 1 that clients cannot see. A client sends a request again if its connection is
// closed at once, assuming that no limiter has read it. An attempt that began before the second sending shows that a
// limiter had read the request and dropped it without an answer.
func checkResent(v *Verdict, attempts []history.Attempt, byID map[string]*history.Request) {
	seen := map[string]bool{}
	for _, attempt := range attempts {
		if request := byID[attempt.ID]; request != nil && request.Resent &&
			attempt.At < request.Sent && !seen[attempt.ID] {
			seen[attempt.ID] = true
			v.addBreach(
				Breach{Rule: 1, At: attempt.At, What: attempt.ID,
					Detail: "sent on, then its connection was ended with no answer"},
			)
		}
	}
}

// checkClientTime checks the part of rule 1 about the client's remaining time: no attempt begins after its client has
// disconnected, and none states more remaining time to its server than its client has.
func checkClientTime(v *Verdict, attempts []history.Attempt, byID map[string]*history.Request, t Tolerances) {
	for _, attempt := range attempts {
		request := byID[attempt.ID]
		if request == nil {
			continue
		}
		if t.LeaveGrace > 0 && request.Outcome == history.GaveUp && attempt.At > request.Answered+t.LeaveGrace {
			v.addBreach(Breach{Rule: 1, At: attempt.At, What: attempt.ID,
				Detail: fmt.Sprintf("an attempt began %d ms after its client had left",
					(attempt.At-request.Answered)/1e6)})
		}
		if excess := attempt.At + attempt.TimeLeft - request.Deadline; t.TimeLeftSlack > 0 &&
			attempt.TimeLeft > 0 && excess > t.TimeLeftSlack {
			v.addBreach(Breach{Rule: 1, At: attempt.At, What: attempt.ID,
				Detail: fmt.Sprintf("its server was told %d ms more than its client had left", excess/1e6)})
		}
	}
}

// downtime is a period in which a limiter was dead or stopped, in nanoseconds on the run's clock. until is the largest
// int64 if the period did not end.
type downtime struct{ from, until int64 }

// downtimes returns the periods that begin with an event of kind from and end with the next one of kind until, by the
// target of the events.
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

// stoppedDuring tells whether a request was in flight while its limiter was stopped. A stopped process cannot answer,
// so this excuses a missing answer, but not an attempt that begins too late once the process continues.
func stoppedDuring(request history.Request, stops map[string][]downtime) bool {
	for _, d := range stops[limiterTarget(request.Limiter)] {
		if d.from <= request.Answered && d.until >= request.Sent {
			return true
		}
	}
	return false
}

// acceptableOutcomes are the outcomes that break no rule if they come in time.
var acceptableOutcomes = map[history.Outcome]bool{
	history.NotAccepted: true,
	history.Succeeded:   true,
	history.Rejected:    true,
	history.Failed:      true,
	history.GaveUp:      true,
}

// affectedByLinkFault tells whether a request was in flight while the clients' link to its limiter had a fault. The
// fault may have delayed or lost the request or its answer, so the limiter is not to blame for the outcome.
func affectedByLinkFault(request history.Request, faults []history.LinkFault, t Tolerances) bool {
	for _, fault := range faults {
		if fault.From <= request.Answered && (fault.Until == 0 || fault.Until+t.Late >= request.Sent) {
			return true
		}
	}
	return false
}

// checkAnswer checks rule 1 from the client's side: the request got an answer, in time.
func checkAnswer(v *Verdict, request history.Request, kills map[string][]downtime, t Tolerances) {
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
		// Requests that a dead limiter held or was sent are lost.
		if d.from <= request.Answered && d.until >= request.Sent {
			v.Killed++
			return
		}
	}
	detail := string(request.Outcome)
	switch request.Outcome {
	case history.Late:
		detail += fmt.Sprintf(" by %v, %v of its time unread",
			time.Duration(request.Answered-request.Deadline), time.Duration(request.AnswerUnread))
	case history.ConnectionBroken:
		detail += fmt.Sprintf(" at limiter %d %v after it was sent at %v, seen %v later, connection reused=%v", request.Limiter,
			time.Duration(request.Answered-request.AnswerUnread-request.Sent), time.Duration(request.Sent),
			time.Duration(request.AnswerUnread), request.Reused)
	}
	v.addBreach(Breach{Rule: 1, At: request.Deadline, What: request.ID, Detail: detail})
}

// checkExecutedOnce checks rule 2 from the servers' records, and the part of rule 1 that no attempt begins after the
// deadline. Requests in excused are exempt from the latter.
func checkExecutedOnce(
	v *Verdict,
	attempts []history.Attempt,
	byID map[string]*history.Request,
	excused map[string]bool,
	set *settings.Settings,
	t Tolerances,
) {
	mayHaveRun := map[string]history.Attempt{} // by request, the first attempt that may have been executed
	for _, attempt := range attempts {
		request := byID[attempt.ID]
		if request != nil && attempt.At > request.Deadline+t.Late && !excused[attempt.ID] {
			v.addBreach(Breach{Rule: 1, At: attempt.At, What: attempt.ID,
				Detail: "an attempt began after the client's cut-off"})
		}
		class := set.Classes[attempt.Class]
		if class == nil || class.Idempotency == choice.Idempotent {
			continue
		}
		if first, seen := mayHaveRun[attempt.ID]; seen {
			if class.Idempotency == choice.NonIdempotent || first.Group != attempt.Group || attempt.Key == "" {
				v.addBreach(Breach{Rule: 2, At: attempt.At, What: attempt.ID,
					Detail: fmt.Sprintf("attempt at %s after one at %s that may have run",
						attempt.Server, first.Server)})
			}
			continue
		}
		if attempt.MayHaveRun {
			mayHaveRun[attempt.ID] = attempt
		}
	}
	// A non-idempotent request may be rejected only if none of its attempts can have been executed.
	ids := make([]string, 0, len(mayHaveRun))
	for id := range mayHaveRun {
		ids = append(ids, id)
	}
	sort.Strings(ids) // lists breaches in the same order each time
	for _, id := range ids {
		first := mayHaveRun[id]
		if request := byID[id]; request != nil && request.Outcome == history.Rejected &&
			set.Classes[request.Class] != nil &&
			set.Classes[request.Class].Idempotency == choice.NonIdempotent {
			v.addBreach(Breach{Rule: 2, At: request.Answered, What: id,
				Detail: fmt.Sprintf("rejected after an attempt at %s that may have run", first.Server)})
		}
	}
}

// checkCeilings checks rule 5 with a leaky bucket for each customer. The first attempt of a request adds the request's
// units, and the bucket drains at the rate of the plan's ceiling. Its level may not exceed the ceiling's burst plus the
// tolerances.
func checkCeilings(
	v *Verdict, attempts []history.Attempt, byID map[string]*history.Request, set *settings.Settings, t Tolerances) {
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

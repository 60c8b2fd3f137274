package invariants

import (
	"fmt"
	"math"

	"ospreycroft/internal/lab/history"
)

const (
	// notifiedWithin is how long after a change of the endpoint list, or after the limiter's link to discovery became
	// silent, a limiter counts as notified at the latest, in nanoseconds.
	notifiedWithin = 6e9
	// notifiedAfterPoll is how long after the hold time of a waiting watch a limiter counts as notified at the latest,
	// in nanoseconds. It applies if it gives a later time than notifiedWithin.
	notifiedAfterPoll = 2e9
)

// checkDrains checks rule 3: no attempt at a server begins later than the grace period after its limiter was notified
// that the server drains or is gone. If the record has no processes of the limiter, the limiter counts as notified at
// the time of the change.
func checkDrains(v *Verdict, r *history.Run, byID map[string]*history.Request, t Tolerances) {
	type drainPeriod struct {
		change history.Event
		back   int64 // when the server returned, 0 if it did not
	}
	periodsByServer := map[string][]drainPeriod{}
	for _, e := range r.Events {
		periods := periodsByServer[e.Target]
		switch open := len(periods) > 0 && periods[len(periods)-1].back == 0; {
		case (e.Kind == "drain" || e.Kind == "gone") && !open:
			periodsByServer[e.Target] = append(periods, drainPeriod{change: e})
		case e.Kind == "back" && open:
			periods[len(periods)-1].back = e.At
		}
	}
	notifications := newNotificationTimes(r)
	for _, attempt := range r.Attempts {
		for _, period := range periodsByServer[attempt.Server] {
			if attempt.At <= period.change.At+t.Grace || period.back > 0 && attempt.At >= period.back {
				continue
			}
			notifiedAt := period.change.At
			if request := byID[attempt.ID]; request != nil {
				notifiedAt = notifications.notifiedAt(period.change, request.Limiter, attempt.At)
			}
			if attempt.At > notifiedAt+t.Grace {
				v.addBreach(Breach{Rule: 3, At: attempt.At, What: attempt.Server, Detail: fmt.Sprintf(
					"an attempt of %s began after its drain's grace; told at %.3f s",
					attempt.ID, float64(notifiedAt)/1e9)})
			}
		}
	}
}

// checkOverloadCrashes checks rule 4 for servers that crashed under overload while warming up. A crash is a breach if
// more than two thirds of the requests came from limiters that had been notified of the server's start. If the server
// was warming up when the run began, all limiters know it from their configuration.
func checkOverloadCrashes(v *Verdict, r *history.Run, byID map[string]*history.Request) {
	notifications := newNotificationTimes(r)
	for _, crash := range r.OverloadCrashes {
		var start history.Event
		for _, e := range r.Events {
			if (e.Kind == "back" || e.Kind == "new") && e.Target == crash.Server && e.At <= crash.At {
				start = e
			}
		}
		notified := 0
		for _, id := range crash.Requests {
			if request := byID[id]; request == nil ||
				notifications.notifiedAt(start, request.Limiter, crash.At) <= crash.At || start.Kind == "" {
				notified++
			}
		}
		if 3*notified > 2*len(crash.Requests) {
			v.addBreach(
				Breach{
					Rule: 4,
					At:   crash.At,
					What: crash.Server,
					Detail: fmt.Sprintf("cold, it fell: sent %d, bears %.1f; %d by "+
						"limiters that had been told of its start", len(crash.Requests), crash.Capacity, notified),
				},
			)
		}
	}
}

// notificationTimes computes when each limiter was notified of changes of the endpoint list. Its maps are keyed by
// limiter; stopped is keyed by the limiter's name in events.
type notificationTimes struct {
	incarnations map[int][]history.Process
	calls        map[int][]history.Call
	silences     map[int][]history.Silence
	stopped      map[string][]downtime
}

func newNotificationTimes(r *history.Run) *notificationTimes {
	n := &notificationTimes{
		incarnations: map[int][]history.Process{},
		calls:        map[int][]history.Call{},
		silences:     map[int][]history.Silence{},
		stopped:      downtimes(r.Events, "stop", "continue"),
	}
	for _, incarnation := range r.Processes {
		n.incarnations[incarnation.Limiter] = append(n.incarnations[incarnation.Limiter], incarnation)
	}
	for _, call := range r.Calls {
		n.calls[call.Limiter] = append(n.calls[call.Limiter], call)
	}
	for _, silence := range r.Silences {
		n.silences[silence.Limiter] = append(n.silences[silence.Limiter], silence)
	}
	return n
}

// notifiedAt returns when the process of a limiter that was alive at now counts as notified of a change of the endpoint
// list. That is when discovery wrote the change to that process, or when the process started with it. If neither
// happened in time, it is at the latest:
//   - 6 s after the change, or after the start of the process if that is later;
//   - 6 s after the link to discovery became silent, if it was silent before the change. If that time has passed by the
//     change, 6 s after the change again, since the limiter has polled again without success by then;
//   - for a watch that was waiting, not before 2 s after its hold time.
//
// A process that was stopped by a signal at that time is notified when it continues.
func (n *notificationTimes) notifiedAt(change history.Event, limiter int, now int64) int64 {
	incarnations := n.incarnations[limiter]
	if len(incarnations) == 0 {
		return change.At
	}
	incarnation := incarnations[0]
	for _, candidate := range incarnations {
		if candidate.Started <= now {
			incarnation = candidate
		}
	}
	from := max(change.At, incarnation.Started)
	latest := from + notifiedWithin
	silence := history.Silence{From: -1}
	for _, s := range n.silences[limiter] {
		if s.From <= from && (s.Until == 0 || from < s.Until) && s.From >= incarnation.Started {
			silence = s
		}
	}
	// The watch that may delay the notification is the one that was open when the silence began or the change was made.
	pollOpenAt := from
	if silence.From >= 0 {
		pollOpenAt = silence.From
		if afterSilence := silence.From + notifiedWithin; afterSilence >= from {
			latest = afterSilence
		}
	}
	writtenAt := int64(math.MaxInt64)
	if incarnation.ListGeneration >= change.Generation && change.Generation > 0 {
		writtenAt = incarnation.Started
	}
	for _, call := range n.calls[limiter] {
		if call.At < incarnation.Started {
			continue
		}
		if call.At <= pollOpenAt && call.EndedAt > pollOpenAt && call.Until > 0 {
			latest = max(latest, call.Until+notifiedAfterPoll)
		}
		if call.End == history.Answered && call.Generation >= change.Generation && call.EndedAt >= change.At {
			writtenAt = min(writtenAt, n.arrivalTime(limiter, call.EndedAt))
		}
	}
	notifiedAt := min(writtenAt, latest)
	for _, s := range n.stopped[limiterTarget(limiter)] {
		if s.from <= notifiedAt && notifiedAt < s.until {
			notifiedAt = s.until
		}
	}
	return max(notifiedAt, change.At)
}

// arrivalTime returns when an answer that discovery writes to a limiter at a time arrives: at once, when a fault of the
// link that holds it back ends, or never (the largest int64).
func (n *notificationTimes) arrivalTime(limiter int, at int64) int64 {
	for _, silence := range n.silences[limiter] {
		if silence.From <= at && (silence.Until == 0 || at < silence.Until) && silence.Lost {
			if silence.Held && silence.Until > 0 {
				return silence.Until
			}
			return math.MaxInt64
		}
	}
	return at
}

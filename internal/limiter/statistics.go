package limiter

import (
	"context"
	"log/slog"

	"ospreycroft/choice"
)

// outcomeLogsPerIdleClose is how often outcomes of requests are logged in the time after which a server closes idle
// connections.
const outcomeLogsPerIdleClose = 3

// statistics holds the counts that are logged at intervals.
type statistics struct {
	inputErrors       inputErrors
	inputErrorsLogged int64 // when input errors were last logged
	outcomes          outcomeCounts
	outcomesLogged    int64 // when outcomes were last logged
	closes            closeCounts
	accountsEvicted   int // evictions of accounts that have been logged
	memory            memoryCounts
}

// closeCounts counts the connections that ended since the counts were last logged, by kind of peer and reason.
type closeCounts [peerKindCount][closeReasonCount]int

// inputErrors counts invalid input and misbehaving clients. It is logged at intervals, as a line for each would let one
// client fill the log.
type inputErrors struct {
	malformedCommands       int // input from clients that is not a command
	invalidCommands         int // commands with invalid arguments
	silentClients           int // clients that sent nothing or a partial command for too long
	stalledClients          int // clients with a partial command that gave way to others waiting to be accepted
	slowReaders             int // clients that did not read their answers
	unreadRequests          int // requests given up because their clients may have left behind bytes that are not read
	malformedAnswers        int // connections to servers with malformed or unexpected answers
	malformedCounterReplies int // malformed answers from the counter
}

// outcomeCounts counts the outcomes of requests since they were last logged.
type outcomeCounts struct {
	accepted, succeeded int
	retries             int // attempts after the first
	rejected            [choice.RejectReasons]int
}

// memoryCounts counts what was given up since it was last logged because some state had taken its part of the memory.
type memoryCounts struct {
	rejectedRequests int // requests rejected unread by the controller
	closedClients    int // clients with too many unanswered commands, or too long a command
	partialAnswers   int // answers of servers that were given up before they were whole
	abandonedIDs     int // ids of abandoned requests that were forgotten before their time
}

// logStatistics logs the counts that are due.
func (l *Limiter) logStatistics() {
	if l.now-l.stats.inputErrorsLogged >= l.settings.IdleClose {
		l.logInputErrors()
	}
	if l.now-l.stats.outcomesLogged >= l.settings.IdleClose/outcomeLogsPerIdleClose {
		l.logAccountLimit()
		l.logMemory()
		l.LogOutcomes()
		l.logCloses()
		l.stats.outcomesLogged = l.now
	}
}

func (l *Limiter) logInputErrors() {
	e := l.stats.inputErrors
	if e == (inputErrors{}) {
		return
	}
	slog.Warn("input-errors", "malformed_commands", e.malformedCommands, "invalid_commands", e.invalidCommands,
		"silent_clients", e.silentClients, "stalled_clients", e.stalledClients, "slow_readers", e.slowReaders,
		"unread_requests", e.unreadRequests,
		"malformed_answers", e.malformedAnswers, "malformed_counter_replies", e.malformedCounterReplies)
	l.stats.inputErrors = inputErrors{}
	l.stats.inputErrorsLogged = l.now
}

// logAccountLimit logs how many accounts were evicted for those of new customers since the last time, and how many
// requests were rejected because none could be, if any.
func (l *Limiter) logAccountLimit() {
	usage := l.controller.AccountUsage()
	evicted := usage.Evicted - l.stats.accountsEvicted
	rejected := l.stats.outcomes.rejected[choice.RejectedForAccounts]
	if evicted == 0 && rejected == 0 {
		return
	}
	slog.Warn("accounts-full", "held", usage.Held, "max", usage.Max, "evicted", evicted, "rejected", rejected)
	l.stats.accountsEvicted = usage.Evicted
}

// logMemory logs what was given up for want of memory since the last time, if anything was.
func (l *Limiter) logMemory() {
	counts := l.stats.memory
	if counts == (memoryCounts{}) {
		return
	}
	slog.Warn("memory-full", "rejected_requests", counts.rejectedRequests, "closed_clients", counts.closedClients,
		"partial_answers", counts.partialAnswers, "abandoned_ids", counts.abandonedIDs)
	l.stats.memory = memoryCounts{}
}

// LogOutcomes logs the counts since the last time in one line, if any is not 0.
func (l *Limiter) LogOutcomes() {
	counts := l.stats.outcomes
	if counts == (outcomeCounts{}) {
		return
	}
	attrs := []slog.Attr{slog.Int("accepted", counts.accepted), slog.Int("succeeded", counts.succeeded)}
	for reason, count := range counts.rejected {
		attrs = append(attrs, slog.Int(choice.RejectReason(reason).String(), count))
	}
	attrs = append(attrs, slog.Int("retries", counts.retries))
	slog.LogAttrs(context.Background(), slog.LevelInfo, "requests", attrs...)
	l.stats.outcomes = outcomeCounts{}
}

// logCloses logs how many connections ended since the last time, by kind of peer and reason, if any did.
func (l *Limiter) logCloses() {
	if l.stats.closes == (closeCounts{}) {
		return
	}
	var attrs []slog.Attr
	for peer, reasons := range l.stats.closes {
		for reason, count := range reasons {
			if count > 0 {
				name := peerKind(peer).String() + "_" + CloseReason(reason).String()
				attrs = append(attrs, slog.Int(name, count))
			}
		}
	}
	slog.LogAttrs(context.Background(), slog.LevelInfo, "closes", attrs...)
	l.stats.closes = closeCounts{}
}

package limiter

import (
	"context"
	"log/slog"

	"ospreycroft/choice"
)

// outcomeLogsPerIdleClose is how often the outcomes of requests are logged in the time after which a server closes idle
// connections.
const outcomeLogsPerIdleClose = 3

// statistics counts what is logged at intervals.
type statistics struct {
	inputErrors       inputErrors
	inputErrorsLogged int64 // when they were last logged
	outcomes          outcomeCounts
	outcomesLogged    int64 // when they were last logged
	closes            closeCounts
}

// closeCounts counts the connections that ended since it was last logged, by the other side and the reason.
type closeCounts [peerKindCount][closeReasonCount]int

// inputErrors counts what is logged at intervals: a line for each would let whoever sends nonsense fill the log.
type inputErrors struct {
	malformedCommands       int // clients' bytes that are no command
	invalidCommands         int // commands that can never be right
	silentClients           int // clients that said nothing, or half a command
	slowReaders             int // clients that did not read their answers
	malformedAnswers        int // servers' answers that are none
	malformedCounterReplies int // the same of the counter
}

// outcomeCounts counts what became of requests since it was last logged.
type outcomeCounts struct {
	accepted, succeeded int
	retries             int // further attempts
	rejected            [choice.RejectReasons]int
}

// logStatistics logs the counts that are due.
func (l *Limiter) logStatistics() {
	if l.now-l.stats.inputErrorsLogged >= l.settings.IdleClose {
		l.logInputErrors()
	}
	if l.now-l.stats.outcomesLogged >= l.settings.IdleClose/outcomeLogsPerIdleClose {
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
		"silent_clients", e.silentClients, "slow_readers", e.slowReaders, "malformed_answers", e.malformedAnswers,
		"malformed_counter_replies", e.malformedCounterReplies)
	l.stats.inputErrors = inputErrors{}
	l.stats.inputErrorsLogged = l.now
}

// LogOutcomes logs the counts since the last time, if there are any, in one line whatever their number.
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

// logCloses logs how many connections ended since the last time, by the other side and the reason, where any did.
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

package limiter

import "log/slog"

// maxReadyDelay: 90% of limiters have to be ready within 10 s of their start, which includes starting the process and
// the client's poll. Nanoseconds.
const maxReadyDelay = 9e9

// readiness says whether the limiter is ready for clients.
type readiness struct {
	ready    bool
	deadline int64 // when the limiter becomes ready at the latest
}

// checkReady makes the limiter ready. It is called once discovery has sent its list, or a dial timeout after the start,
// when the list of the configuration has to do. The controller may ask for more time, up to the deadline; requests
// above this limiter's parts of the ceilings are then rejected, so that no ceiling is exceeded.
func (l *Limiter) checkReady() {
	at := min(l.controller.ReadyAt(), l.readiness.deadline)
	if l.now < at {
		l.schedule(at, l.checkReady)
		return
	}
	if !l.readiness.ready {
		l.becomeReady()
	}
}

func (l *Limiter) becomeReady() {
	l.readiness.ready = true
	slog.Info("ready", "servers", len(l.servers.pools), "generation", l.discovery.version)
}

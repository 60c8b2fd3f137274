package limiter

import "log/slog"

// maxReadyDelay: nine limiters in ten have to be ready within 10 s, less what it takes to start and to be asked.
const maxReadyDelay = 9e9

// readiness is whether clients may come.
type readiness struct {
	ready    bool
	deadline int64 // when the limiter is ready at the latest, whatever the controller wants
}

// checkReady makes the limiter ready once discovery has told its list, or is down, so that the list of the
// configuration must do. The controller may want more time, up to the deadline: what the parts of ceilings do not hold
// by then is rejected, and they are not passed.
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

package limiter

import (
	"log/slog"

	"ospreycroft/internal/settings"
)

// reload goes on by a configuration that has replaced the present one under load. Discovery and the counter may move;
// what else differs holds from the next start on, each key with a line. A counter that the settings still have stays
// where it is when none is named any more.
func (l *Limiter) reload(config *settings.Config) {
	for _, key := range l.config.NeedRestart(config) {
		slog.Warn("config-kept", "key", key)
	}
	moved := *l.config
	moved.Discovery = config.Discovery
	if l.settings.CounterTimeout > 0 && config.Counter != "" {
		moved.Counter = config.Counter
	}
	discovery := moved.Discovery != l.config.Discovery
	counter := moved.Counter != l.config.Counter
	l.config = &moved
	slog.Info("config-read", "discovery", moved.Discovery, "counter", moved.Counter)
	if discovery {
		l.discovery.followMove()
	}
	if counter {
		l.counter.followMove()
	}
}

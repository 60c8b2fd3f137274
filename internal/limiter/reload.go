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
	merged := *l.config
	merged.Discovery = config.Discovery
	if l.settings.CounterTimeout > 0 && config.Counter != "" {
		merged.Counter = config.Counter
	}
	discoveryMoved := merged.Discovery != l.config.Discovery
	counterMoved := merged.Counter != l.config.Counter
	l.config = &merged
	slog.Info("config-read", "discovery", merged.Discovery, "counter", merged.Counter)
	if discoveryMoved {
		l.discovery.changeAddress()
	}
	if counterMoved {
		l.counter.changeAddress()
	}
}

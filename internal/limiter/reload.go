package limiter

import (
	"log/slog"

	"ospreycroft/internal/settings"
)

// reload applies a configuration that has replaced the present one. Only the addresses of discovery and the counter
// change; each other key that differs is logged and takes effect at the next start. If the settings use a counter and
// the new configuration names none, its address stays.
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

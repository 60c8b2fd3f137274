package coldstart

import "fmt"

// SettingError reports a setting whose value is out of range.
type SettingError struct {
	Key   string // the setting's key in its file
	Value float64
	Want  string // the values that are allowed, as a phrase that follows "has to be"
}

// Error names the key and its value.
func (e *SettingError) Error() string { return fmt.Sprintf("%s is %v", e.Key, e.Value) }

// Hint tells the operator how to correct the setting.
func (e *SettingError) Hint() string { return e.Key + " has to be " + e.Want }

// Check returns a *SettingError for the first setting that is out of range, and nil if all are valid.
func (s *Settings) Check() error {
	for _, c := range []struct {
		invalid bool
		key     string
		value   float64
		want    string
	}{
		{s.Limiters < 1, "limiters", float64(s.Limiters), "1 or more"},
		{s.Position >= s.Limiters, "place", float64(s.Position), "below the number of limiters"},
		{!(s.Jitter >= 0 && s.Jitter < 1), "chance", s.Jitter, "from 0 up to 1"},
		{s.DialTimeout <= 0, "dial-timeout", float64(s.DialTimeout), "above 0"},
		{s.PollInterval < 0, "ask-every", float64(s.PollInterval), "0 or more"},
		{!(s.ColdCapacity >= 0 && s.ColdCapacity <= 1), "cold-from", s.ColdCapacity, "from 0 to 1"},
		{s.SlowStartWindow <= 0, "warm-within", float64(s.SlowStartWindow), "above 0"},
		{
			s.NotificationDeadline <= answerDialTimeouts*s.DialTimeout,
			"told", float64(s.NotificationDeadline), "more than two dial timeouts",
		},
		{s.ReadinessDeadline <= 0, "bound", float64(s.ReadinessDeadline), "above 0"},
		{s.CeilingLeadTime < 0, "lead", float64(s.CeilingLeadTime), "0 or more"},
		{!(s.CallRate >= 0 && s.CallRate <= 1e6), "list_calls_per_s", s.CallRate, "from 0 to a million"},
		{
			!(s.ConnectionRate >= 0 && s.ConnectionRate <= 1e6),
			"start.connections_per_s", s.ConnectionRate, "from 0 to a million",
		},
	} {
		if c.invalid {
			return &SettingError{c.key, c.value, c.want}
		}
	}
	return nil
}

// Advice holds the bounds that follow from the settings for the whole fleet. They hold however many limiters are killed
// and restarted.
type Advice struct {
	// CallRate is the maximum rate of calls to discovery from all limiters together, in calls per second.
	CallRate float64
	// StatedRate is true if the operator stated CallRate, false if it is implied by the other settings.
	StatedRate bool
	// EvenRate is true if limiters know their positions and so call evenly spaced. If false, their slots are random and
	// CallRate is a mean.
	EvenRate bool
	// AllPolledWithin is the time in which every limiter has polled once, and the time between two calls of a limiter
	// after a change of the list, in nanoseconds.
	AllPolledWithin int64
	// MaxLateness is how long after the notification deadline a change can reach a limiter, failed calls included, in
	// nanoseconds; 0 if every change arrives in time.
	MaxLateness int64
	// SufficientCallRate is the rate of calls with which MaxLateness would be 0, in calls per second.
	SufficientCallRate float64
	// ConnectionRate is the maximum rate at which one limiter opens connections to one server, in connections per
	// second; 0 for no limit.
	ConnectionRate float64
}

// LateNotificationError reports that with the configured call rate some limiters can receive a change of the list only
// after the notification deadline.
type LateNotificationError struct{ Advice }

// Error states the call rate and the lateness that follows from it.
func (e *LateNotificationError) Error() string {
	return fmt.Sprintf(
		"with %.4g calls a second all limiters have polled discovery after %.3g s, and a change can arrive "+
			"%.3g s after the notification deadline",
		e.CallRate,
		float64(e.AllPolledWithin)/1e9,
		float64(e.MaxLateness)/1e9,
	)
}

// Hint tells the operator what avoids late notifications.
func (e *LateNotificationError) Hint() string {
	return fmt.Sprintf(
		"give discovery capacity for %.4g calls a second and state it, run fewer limiters, or have lists pushed",
		e.SufficientCallRate,
	)
}

// Advise returns the bounds for a fleet that shares the given number of servers. Errors: *SettingError;
// *LateNotificationError, a warning that is returned with a valid Advice and does not keep limiters from starting.
func (s *Settings) Advise(servers int) (Advice, error) {
	if err := s.Check(); err != nil {
		return Advice{}, err
	}
	a := Advice{EvenRate: s.Position >= 0, ConnectionRate: s.ConnectionRate / float64(s.LimitersPerServer(servers))}
	if s.PollInterval == 0 {
		return a, nil
	}
	a.AllPolledWithin = s.Period()
	a.StatedRate = s.CallRate > 0
	a.CallRate = float64(s.Limiters) * 1e9 / float64(a.AllPolledWithin)
	a.MaxLateness = max(0, a.AllPolledWithin+answerDialTimeouts*s.DialTimeout-s.NotificationDeadline)
	a.SufficientCallRate = float64(s.Limiters) * 1e9 / float64(s.NotificationDeadline-answerDialTimeouts*s.DialTimeout)
	if a.MaxLateness > 0 {
		return a, &LateNotificationError{a}
	}
	return a, nil
}

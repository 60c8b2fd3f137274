package coldstart

import "fmt"

// SettingError is a setting of a start that cannot work.
type SettingError struct {
	Key   string
	Value float64
	Want  string
}

// Error says what happened.
func (e *SettingError) Error() string { return fmt.Sprintf("%s is %v", e.Key, e.Value) }

// Hint is what to do.
func (e *SettingError) Hint() string { return e.Key + " has to be " + e.Want }

// Check tells whether a start can be computed from the settings. Errors: *SettingError.
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
		{s.NotificationDeadline <= answerDialTimeouts*s.DialTimeout, "told", float64(s.NotificationDeadline), "more than two dial time-outs"},
		{s.ReadinessDeadline <= 0, "bound", float64(s.ReadinessDeadline), "above 0"},
		{s.CeilingLeadTime < 0, "lead", float64(s.CeilingLeadTime), "0 or more"},
		{!(s.CallRate >= 0 && s.CallRate <= 1e6), "list_calls_per_s", s.CallRate, "from 0 to a million"},
		{!(s.ConnectionRate >= 0 && s.ConnectionRate <= 1e6), "start.connections_per_s", s.ConnectionRate, "from 0 to a million"},
	} {
		if c.invalid {
			return &SettingError{c.key, c.value, c.want}
		}
	}
	return nil
}

// Advice is what the settings mean for the fleet; all of it holds whatever is killed and started again.
type Advice struct {
	CallRate   float64 // to the list service, a second, from all limiters together at most
	StatedRate bool    // by the operator, and not implied by the settings
	// limiters know their places; else they ask at slots drawn by chance, and Calls is a mean
	EvenRate        bool
	AllPolledWithin int64 // nanoseconds until all limiters have asked, and between the calls of one after news
	// so much later than it counts as notified can news come, behind failed calls too, in nanoseconds; 0 where it
	// cannot
	MaxLateness        int64
	SufficientCallRate float64 // calls a second with which it could not
	ConnectionRate     float64 // new connections a second that one limiter opens to one server of so many, 0 for no bound
}

// LateNotificationError is the advice that the stated budget cannot give all limiters their list before it counts as
// told.
type LateNotificationError struct{ Advice }

// Error says what happened.
func (e *LateNotificationError) Error() string {
	return fmt.Sprintf(
		"with %.4g calls a second all limiters have asked the list service after %.3g s, and news can come %.3g s "+
			"later than it counts as told",
		e.CallRate,
		float64(e.AllPolledWithin)/1e9,
		float64(e.MaxLateness)/1e9,
	)
}

// Hint is what to do.
func (e *LateNotificationError) Hint() string {
	return fmt.Sprintf(
		"let the list service bear %.4g calls a second and state that, run fewer limiters, or have lists pushed",
		e.SufficientCallRate,
	)
}

// Advise states the bounds for a fleet that shares so many servers. Errors: *SettingError; *LateNotificationError
// beside the advice, with which limiters start all the same.
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

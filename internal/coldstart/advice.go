package coldstart

import "fmt"

// Bad is a setting of a start that cannot work.
type Bad struct {
	Key   string
	Value float64
	Want  string
}

func (b *Bad) Error() string { return fmt.Sprintf("%s is %v", b.Key, b.Value) }

// Hint is what to do.
func (b *Bad) Hint() string { return b.Key + " has to be " + b.Want }

// Check tells whether a start can be computed from the settings. Errors: *Bad.
func (s *Settings) Check() error {
	for _, c := range []struct {
		bad  bool
		key  string
		is   float64
		want string
	}{
		{s.Limiters < 1, "limiters", float64(s.Limiters), "1 or more"},
		{s.Place >= s.Limiters, "place", float64(s.Place), "below the number of limiters"},
		{!(s.Chance >= 0 && s.Chance < 1), "chance", s.Chance, "from 0 up to 1"},
		{s.DialTimeout <= 0, "dial-timeout", float64(s.DialTimeout), "above 0"},
		{s.AskEvery < 0, "ask-every", float64(s.AskEvery), "0 or more"},
		{!(s.ColdFrom >= 0 && s.ColdFrom <= 1), "cold-from", s.ColdFrom, "from 0 to 1"},
		{s.WarmWithin <= 0, "warm-within", float64(s.WarmWithin), "above 0"},
		{s.Told <= answerTime*s.DialTimeout, "told", float64(s.Told), "more than two dial time-outs"},
		{s.Bound <= 0, "bound", float64(s.Bound), "above 0"},
		{s.Lead < 0, "lead", float64(s.Lead), "0 or more"},
		{!(s.Budget >= 0 && s.Budget <= 1e6), "list_calls_per_s", s.Budget, "from 0 to a million"},
		{!(s.Connections >= 0 && s.Connections <= 1e6), "start.connections_per_s", s.Connections, "from 0 to a million"},
	} {
		if c.bad {
			return &Bad{c.key, c.is, c.want}
		}
	}
	return nil
}

// Advice is what the settings mean for the fleet; all of it holds whatever is killed and started again.
type Advice struct {
	Calls  float64 // to the list service, a second, from all limiters together at most
	Stated bool    // by the operator, and not implied by the settings
	Even   bool    // limiters know their places; else they ask at instants drawn by chance, and Calls is a mean
	All    int64   // nanoseconds until all limiters have asked, and between the calls of one after news
	Late   int64   // so much later than it counts as told can news come, behind failed calls too, in nanoseconds; 0 where it cannot
	Enough float64 // calls a second with which it could not
	Sharer float64 // new connections a second that one limiter opens to one server of so many, 0 for no bound
}

// Late is the advice that the stated budget cannot give all limiters their list before it counts as told.
type Late struct{ Advice }

func (l *Late) Error() string {
	return fmt.Sprintf("with %.4g calls a second all limiters have asked the list service after %.3g s, and news can come %.3g s "+
		"later than it counts as told", l.Calls, float64(l.All)/1e9, float64(l.Late)/1e9)
}

// Hint is what to do.
func (l *Late) Hint() string {
	return fmt.Sprintf("let the list service bear %.4g calls a second and state that, run fewer limiters, or have lists pushed",
		l.Enough)
}

// Advise states the bounds for a fleet that shares so many servers. Errors: *Bad; *Late beside the advice, with which limiters
// start all the same.
func (s *Settings) Advise(servers int) (Advice, error) {
	if err := s.Check(); err != nil {
		return Advice{}, err
	}
	a := Advice{Even: s.Place >= 0, Sharer: s.Connections / float64(s.Sharers(servers))}
	if s.AskEvery == 0 {
		return a, nil
	}
	a.All, a.Stated = s.Round(), s.Budget > 0
	a.Calls = float64(s.Limiters) * 1e9 / float64(a.All)
	a.Late = max(0, a.All+answerTime*s.DialTimeout-s.Told)
	a.Enough = float64(s.Limiters) * 1e9 / float64(s.Told-answerTime*s.DialTimeout)
	if a.Late > 0 {
		return a, &Late{a}
	}
	return a, nil
}

package pollpacer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	unit  = int64(250e6)
	every = int64(10e9)
	late  = int64(60e9) // all that is missed counts as told
)

func TestNext(t *testing.T) {
	t.Run("a failure is tried again soon, more of them later", func(t *testing.T) {
		p := New(0, unit, 3, every)
		if first := p.RetryDelay(late, Failed); first <= 0 || first > unit/2 {
			t.Fatal(first)
		}
		for range 20 {
			if wait := p.RetryDelay(late, Failed); wait > 2*maxFailurePause*unit {
				t.Fatal(wait)
			}
		}
	})
	t.Run("limiters that failed together come again apart", func(t *testing.T) {
		tenths := [10]int{}
		for i := range 80 {
			tenths[10*(New(0, unit, i, every).RetryDelay(late, Throttled)-firstThrottledPause*unit/2)/(firstThrottledPause*unit)]++
		}
		for _, n := range tenths {
			if n < 6 || n > 10 {
				t.Fatalf("in tenths of the span: %v", tenths)
			}
		}
	})
	t.Run("silence between calls that are turned away does not end it", func(t *testing.T) {
		p := New(0, unit, 3, every)
		for range 9 {
			p.RetryDelay(late, Throttled)
			p.RetryDelay(late, Failed)
		}
		if wait := p.RetryDelay(late, Throttled); wait < maxThrottledPause*unit/2 {
			t.Fatal(wait)
		}
	})
	t.Run("an answer ends the waiting", func(t *testing.T) {
		p := New(0, unit, 3, every)
		for range 9 {
			p.RetryDelay(late, Throttled)
		}
		p.ResponseReceived(late)
		if wait := p.RetryDelay(late, Throttled); wait > 2*firstThrottledPause*unit {
			t.Fatal(wait, "after an answer")
		}
	})
}

// What is missed counts as told 6 s after discovery fell silent, or 2 s after a wait is over. A silent call has to be
// given up while a dial that is never answered, its pause, a dial and an answer still come before that.
func TestAsk(t *testing.T) {
	for _, c := range []struct {
		name              string
		dial, every, told int64
		whole             bool
		least             int64 // it is held for so long behind its wait: discovery may have a queue
	}{
		{"asked", unit, every, 12e9, false, 1e9},
		{"asked often", unit, 2e9, 6e9, false, 1e9},
		{"asked, the whole list", unit, every, 6e9, true, 4e9},
		{"asked, far away", 400e6, every, 12e9, false, 400e6},
		{"pushed", unit, 0, 6e9, false, 400e6},
		{"pushed, long dials", 5e9, 0, 6e9, false, 400e6},
		{"pushed, the whole list", unit, 0, 6e9, true, 400e6},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := New(0, c.dial, 3, c.every)
			hold, limit := p.NextPoll(0, c.whole)
			now := limit + p.DialTimeout() // a dial is not answered
			now += p.RetryDelay(now, Failed) + 2*p.DialTimeout()
			require.LessOrEqual(t, now, c.told, "when it hears")
			require.GreaterOrEqual(t, limit, hold+c.least, "when it gives up")
		})
	}
	t.Run("a dial that takes for ever leaves room for one try", func(t *testing.T) {
		p := New(0, 60e9, 3, every)
		_, limit := p.NextPoll(0, false)
		require.LessOrEqual(t, limit+2*p.DialTimeout(), int64(12e9))
	})
	t.Run("the whole list at a new address", func(t *testing.T) {
		p := New(0, unit, 3, every)
		p.ServiceMoved(60e9)
		_, limit := p.NextPoll(60e9, true)
		require.True(t, limit <= 4e9-3*unit && limit >= 2e9, "%d", limit)
	})
}

// An outage that is over before what was missed counts as told ends in a call before that, one for each limiter and not
// all at once; where changes are pushed the agent on the own machine is asked within a small part of the grace.
func TestOutage(t *testing.T) {
	for _, end := range []Failure{Throttled, Failed} {
		tenths, inSecond := [10]int{}, [61]int{}
		// calls are how many of a limiter come within a minute, and when the last one does before its news counts.
		calls := func(p *Pacer) (n int, last int64) {
			for now := int64(0); now < late; n++ {
				if now <= 6e9-2*unit {
					last = now
				}
				if p.pollInterval > 0 {
					inSecond[min(now/1e9, 60)]++
				}
				now += p.RetryDelay(now, end)
			}
			return n, last
		}
		for i := range 300 {
			p, without := New(0, unit, i, every), New(0, unit, i, every)
			p.ResponseReceived(0)
			n, last := calls(p)
			counted := inSecond
			most, _ := calls(without)
			if inSecond = counted; n > most+1 || last < 2e9 {
				t.Fatalf("limiter %d: %d calls, without the early one %d, the last at %d", i, n, most, last)
			}
			tenths[last/6e8]++
		}
		t.Logf("end %d: calls of 300 limiters in each second of a minute: %v", end, inSecond[:60])
		for _, n := range tenths {
			require.True(t, end != Throttled || n <= 150, "last calls in tenths of the time: %v", tenths)
		}
		p := New(0, unit, 3, 0)
		for range 40 {
			require.InDelta(t, 46e6, p.RetryDelay(0, end), 34e6)
		}
	}
}

// TestOverbooked lets many limiters start together at one discovery that can take a call of each in 8 s and turns away
// what it cannot answer within 2 s, as the operators' page has it. All are to have their list before long.
func TestOverbooked(t *testing.T) {
	for _, limiters := range []int{3, 80, 300} {
		const all, patience = 8 * int64(1e9), 2 * int64(1e9)
		cost := all / int64(limiters)
		type asker struct {
			pace *Pacer
			at   int64
			has  int64
		}
		askers := make([]asker, limiters)
		for i := range askers {
			askers[i].pace = New(0, unit, i, every)
			askers[i].at = askers[i].pace.FirstDelay()
		}
		calls, left, took := 0, limiters, int64(0)
		for busy, now := int64(0), int64(0); left > 0; now += int64(1e6) {
			if now > 40e9 {
				t.Fatalf("%d of %d limiters have no list after 40 s and %d calls", left, limiters, calls)
			}
			for i := range askers {
				a := &askers[i]
				if a.has > 0 || now < a.at {
					continue
				}
				calls++
				if busy = max(busy, now) + cost/4; busy-now > patience { // turning away costs work too
					a.at = now + a.pace.RetryDelay(now, Throttled)
					continue
				}
				busy += cost - cost/4
				a.has, left, took = now+1, left-1, now
			}
		}
		t.Logf("%d limiters: %d calls, all have their list after %.1f s", limiters, calls, float64(took)/1e9)
		if calls > 5*limiters/4+2 {
			t.Fatalf("%d calls of %d limiters", calls, limiters)
		}
	}
}

// TestGrace: the pause before the agent is asked again is a part of the grace that the settings tell, not of one
// site's.
func TestGrace(t *testing.T) {
	for _, c := range []struct{ grace, least, most int64 }{{0, 25e6, 75e6}, {500e6, 25e6, 75e6}, {100e6, 10e6, 30e6}, {1, 5e5, 15e5}} {
		p := New(0, unit, 3, 0)
		p.SetNotificationBound(c.grace)
		for range 40 {
			pause := p.RetryDelay(0, Failed)
			require.True(t, c.least <= pause && pause <= c.most, "a grace of %d, a pause of %d", c.grace, pause)
		}
	}
}

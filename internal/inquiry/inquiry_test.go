package inquiry

import "testing"

const unit = int64(250e6)

func TestNext(t *testing.T) {
	t.Run("a failure is tried again soon, more of them later", func(t *testing.T) {
		p := New(unit, 3, 0)
		if first := p.Next(Broke); first <= 0 || first > unit/2 {
			t.Fatal(first)
		}
		for range 20 {
			if wait := p.Next(Broke); wait > 2*brokeMost*unit {
				t.Fatal(wait)
			}
		}
	})
	t.Run("limiters that failed together come again apart", func(t *testing.T) {
		tenths := [10]int{}
		for i := range 80 {
			tenths[10*(New(unit, i, 0).Next(Turned)-turnedFirst*unit/2)/(turnedFirst*unit)]++
		}
		for _, n := range tenths {
			if n < 6 || n > 10 {
				t.Fatalf("in tenths of the span: %v", tenths)
			}
		}
	})
	t.Run("silence between calls that are turned away does not end it", func(t *testing.T) {
		p := New(unit, 3, 0)
		for range 9 {
			p.Next(Turned)
			p.Next(Broke)
		}
		if wait := p.Next(Turned); wait < turnedMost*unit/2 {
			t.Fatal(wait)
		}
	})
	t.Run("an answer ends the waiting", func(t *testing.T) {
		p := New(unit, 3, 0)
		for range 9 {
			p.Next(Turned)
		}
		if wait := p.Next(Answered); wait != 0 {
			t.Fatal(wait)
		}
		if wait := p.Next(Turned); wait > 2*turnedFirst*unit {
			t.Fatal(wait, "after an answer")
		}
	})
}

func TestWait(t *testing.T) {
	if hold, more := New(unit, 0, 10e9).Wait(); hold != 10e9 || more < 2e9 {
		t.Fatalf("a call in discovery's queue is given up after %v and %v", hold, more)
	}
	if hold, more := New(unit, 0, 0).Wait(); hold+more > 2e9 {
		t.Fatalf("an unanswered watch hides news for %v and %v", hold, more)
	}
}

// TestOverbooked lets many limiters start together at one discovery that can take a call of each in 8 s and turns away
// what it cannot answer within 2 s, as the operators' page has it. All are to have their list before long.
func TestOverbooked(t *testing.T) {
	for _, limiters := range []int{3, 80, 300} {
		const all, patience = 8 * int64(1e9), 2 * int64(1e9)
		cost := all / int64(limiters)
		type asker struct {
			pace *Pace
			at   int64
			has  int64
		}
		askers := make([]asker, limiters)
		for i := range askers {
			askers[i].pace = New(unit, i, 10e9)
			askers[i].at = askers[i].pace.First()
		}
		calls, left := 0, limiters
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
					a.at = now + a.pace.Next(Turned)
					continue
				}
				busy += cost - cost/4
				a.has, left = now+1, left-1
			}
		}
		if calls > 3*limiters {
			t.Fatalf("%d calls of %d limiters", calls, limiters)
		}
	}
}

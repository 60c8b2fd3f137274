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

package choice

import (
	"fmt"
	"math"
	"strings"
	"testing"
)

func TestRequest(t *testing.T) {
	t.Run("reserves before its first attempt", func(t *testing.T) {
		l, d := made()
		l.RequestArrived(0, arrival("j", "read", "plain"))
		expect(t, d, "count 2")
	})
	t.Run("of a customer known to be out of units is rejected without a call", func(t *testing.T) {
		l, d := made()
		q := reserving(l, "read", "plain")
		l.CounterReplied(0, q.reservation.name, Succeeded, 60)
		d.did = nil
		l.RequestArrived(second/10, arrival("k", "read", "plain"))
		if expect(t, d, "reject k"); len(d.did) != 1 {
			t.Fatalf("did %q", d.did)
		}
		l.RequestArrived(10*second, arrival("m", "read", "plain")) // by then the store may hold them
		if last := d.did[len(d.did)-1]; !strings.HasPrefix(last, "count ") {
			t.Fatalf("did %q", d.did)
		}
	})
	t.Run("of an unknown plan is rejected", func(t *testing.T) {
		l, d := made()
		l.RequestArrived(0, arrival("j", "read", "nobody's"))
		expect(t, d, "reject j")
	})
	t.Run("that has no time is rejected", func(t *testing.T) {
		l, d := made()
		a := arrival("j", "read", "plain")
		a.Timeout = 0
		l.RequestArrived(0, a)
		expect(t, d, "reject j")
	})
	t.Run("right after our start finds our part of the ceiling empty", func(t *testing.T) {
		l, d := made()
		opens(l, "hard", second)
		l.RequestArrived(0, arrival("j", "read", "hard"))
		expect(t, d, "reject j")
		d.because(t, RejectedForCeiling)
		l.RequestArrived(second, arrival("k", "read", "hard"))
		expect(t, d, "count 2")
	})
	t.Run("is held to our part of the ceiling when others went out while it waited", func(t *testing.T) {
		l, d := made()
		opens(l, "hard", second/2)
		l.RequestArrived(second/2, arrival("j", "read", "hard"))
		l.RequestArrived(second/2, arrival("k", "read", "hard"))
		name := l.requests.byID["j"].reservation.name
		l.CounterReplied(second/2, name, Succeeded, 2)
		l.CounterReplied(second/2, name, Succeeded, 4)
		expect(t, d, "count 2", "count 2", "send j a", "count -2", "reject k")
		d.because(t, RejectedForCeiling)
	})
	t.Run("goes by the slice while the counter is silent", func(t *testing.T) {
		l, d := made()
		l.sampling.rate = 0
		l.RequestArrived(0, arrival("j", "read", "plain"))
		if expect(t, d, "send j a"); l.requests.byID["j"].account.window.pendingAdjustment != 2 {
			t.Fatal("its units are not owed")
		}
	})
}

func TestRequestWhileCrowded(t *testing.T) {
	crowded := func(owed float64) *effects {
		l, d := made()
		a := l.useAccount(0, arrival("", "read", "plain"), l.settings.Plans["plain"])
		a.plan.OverQuotaPenalty, a.plan.PriorityWeight = 1, 1
		l.sampling.rate, a.sharedQuota.tokens, a.localQuota.tokens, a.window.known = 0.999, 0, -9, true
		l.reservations.rollOver(0, a)
		a.window.pendingAdjustment = owed
		l.RequestArrived(0, arrival("j", "read", "plain"))
		return d
	}
	t.Run("the counter is not asked for a customer known to be out", func(t *testing.T) {
		expect(t, crowded(0), "reject j")
	})
	t.Run("but when there is something to add back", func(t *testing.T) {
		expect(t, crowded(-3), "count -1")
	})
	t.Run("the retry-after is no longer than clients honour", func(t *testing.T) {
		if d := crowded(0); d.after > second || d.after <= second/4 {
			t.Fatal("told to wait", d.after)
		}
	})
}

// TestAsksAfterAnOutage: a counter that was down is soon asked as much as it bore before, one that is crowded is not.
func TestAsksAfterAnOutage(t *testing.T) {
	end := func(l *Controller, outcome Outcome, n int) {
		for range n {
			l.reservations.calls[1] = append(l.reservations.calls[1], counterCall{request: &request{state: stateInFlight}, account: l.useAccount(0, arrival("", "read", "plain"), l.settings.Plans["plain"]), background: true})
			l.CounterReplied(0, 1, outcome, 0)
		}
	}
	l, _ := made()
	end(l, Succeeded, 10)
	end(l, ConnectFailed, 40)
	if l.sampling.rate != minSamplingRate {
		t.Fatal("while it is down it is asked", l.sampling.rate)
	}
	if end(l, Succeeded, 4); l.sampling.rate != samplingDecrease {
		t.Fatal("after four answers it is asked", l.sampling.rate)
	}
	l, _ = made()
	for range 40 {
		end(l, TimedOut, 1)
		end(l, Succeeded, 4)
	}
	if l.sampling.rate > 0.3 {
		t.Fatal("one that leaves a fifth unanswered is asked", l.sampling.rate)
	}
}

func TestCounted(t *testing.T) {
	t.Run("within the allowance the request is sent", func(t *testing.T) {
		l, d := made()
		l.CounterReplied(0, reserving(l, "read", "plain").reservation.name, Succeeded, 10)
		expect(t, d, "send j a")
	})
	t.Run("past the allowance it is added back and rejected", func(t *testing.T) {
		l, d := made()
		l.CounterReplied(0, reserving(l, "read", "plain").reservation.name, Succeeded, 11)
		expect(t, d, "count -2", "reject j")
		d.because(t, RejectedForQuota)
	})
	t.Run("refused, the slice decides and nothing is added back", func(t *testing.T) {
		l, d := made()
		q := reserving(l, "read", "plain")
		q.account.localQuota.tokens = 1
		l.CounterReplied(0, q.reservation.name, Overloaded, 0)
		expect(t, d, "count 2", "reject j")
		d.because(t, RejectedForLocalQuota)
	})
	t.Run("spoilt, the counter is asked as before", func(t *testing.T) {
		l, d := made()
		q := reserving(l, "read", "plain")
		l.CounterReplied(0, q.reservation.name, ServerError, 0)
		if expect(t, d, "send j a"); l.sampling.rate != 1 || q.account.window.unconfirmed != 2 {
			t.Fatal("asks", l.sampling.rate, "unsure", q.account.window.unconfirmed)
		}
	})
	t.Run("late for a request whose client has left, it is added back", func(t *testing.T) {
		l, d := made()
		q := reserving(l, "read", "plain")
		l.ClientDisconnected(0, "j")
		l.CounterReplied(0, q.reservation.name, Succeeded, 2)
		expect(t, d, "count 2", "count -2")
	})
	t.Run("unanswered, what the slice sends is owed until a total shows that it was added", func(t *testing.T) {
		l, d := made()
		q := reserving(l, "read", "plain")
		l.CounterReplied(0, q.reservation.name, TimedOut, 0)
		if expect(t, d, "send j a"); q.account.window.pendingAdjustment != 2 {
			t.Fatal("owed", q.account.window.pendingAdjustment)
		}
		l.reservations.reserve(0, &request{id: "k", account: q.account, units: 2, charge: 2, class: q.class})
		l.CounterReplied(0, q.reservation.name, Succeeded, 6)
		if expect(t, d, "count 4", "send k b"); q.account.window.pendingAdjustment != -2 {
			t.Fatal("owed", q.account.window.pendingAdjustment)
		}
	})
	t.Run("a total that has fallen frees nothing", func(t *testing.T) {
		l, d := made()
		q := reserving(l, "read", "plain")
		q.account.window.total, q.account.window.known, q.account.sharedQuota.tokens = 30, true, 1
		l.CounterReplied(0, q.reservation.name, Succeeded, 2)
		expect(t, d, "count -2", "reject j")
	})
	t.Run("what is added back to a window that has passed leaves the store alone", func(t *testing.T) {
		l, _ := made()
		q := reserving(l, "read", "plain")
		later := 40 * second
		q.reservation.leaseEnd, q.account.sharedQuota.updatedAt = later+1, later
		l.CounterReplied(later, q.reservation.name, Succeeded, 100)
		l.reservations.release(later, q, 2)
		q.reservation.held = true
		l.reservations.release(later, q, 2)
		l.CounterReplied(later, q.reservation.name, Succeeded, 98)
		if level := q.account.sharedQuota.tokens; level != 3 {
			t.Fatal("the store has fallen to", level)
		}
	})
	t.Run("what others added while the store was full took nothing from it", func(t *testing.T) {
		l, d := made()
		q := reserving(l, "read", "plain")
		q.account.window.known, q.account.sharedQuota.tokens, q.account.sharedQuota.overflow = true, 10, 24
		l.CounterReplied(0, q.reservation.name, Succeeded, 26)
		expect(t, d, "send j a")
	})
	t.Run("what a late call added for a request not sent is added back with the next", func(t *testing.T) {
		l, d := made()
		q := reserving(l, "read", "plain")
		q.account.localQuota.tokens = 1
		l.CounterReplied(0, q.reservation.name, TimedOut, 0)
		expect(t, d, "count 2", "reject j")
		l.reservations.reserve(0, &request{id: "k", account: q.account, units: 1, charge: 1, class: q.class})
		l.CounterReplied(0, q.reservation.name, Succeeded, 3)
		if q.account.window.pendingAdjustment != -2 {
			t.Fatal("owed", q.account.window.pendingAdjustment)
		}
	})
	t.Run("a reservation that carries more to add back than it adds still decides its request", func(t *testing.T) {
		l, d := made()
		a := l.useAccount(0, arrival("", "read", "plain"), l.settings.Plans["plain"])
		l.reservations.rollOver(0, a)
		a.window.pendingAdjustment = -9
		q := reserving(l, "read", "plain")
		l.CounterReplied(0, q.reservation.name, Succeeded, -7)
		expect(t, d, "count -7", "send j a")
	})
	t.Run("an answer to no call does nothing", func(t *testing.T) {
		l, d := made()
		l.CounterReplied(0, 5, Succeeded, 2)
		expect(t, d)
	})
}

func TestRelease(t *testing.T) {
	t.Run("does nothing after the lease", func(t *testing.T) {
		l, d := made()
		q := reserving(l, "read", "plain")
		l.reservations.release(q.reservation.leaseEnd, q, 2)
		expect(t, d, "count 2")
	})
}

func TestMembers(t *testing.T) {
	t.Run("a server that a whole list leaves out is gone", func(t *testing.T) {
		l, _ := made()
		l.UpdateEndpoints(0, true, []Endpoint{{ID: "b"}})
		if l.servers.byID["a"].state != EndpointGone || l.servers.byID["b"].state != EndpointReady {
			t.Fatal("it is not")
		}
	})
	t.Run("and let go of once nothing is out there", func(t *testing.T) {
		l, _ := made()
		sent(l, "read")
		l.UpdateEndpoints(0, true, nil)
		if l.tick(0); len(l.servers.ring) != 1 || l.servers.byID["a"] == nil || l.servers.byID["b"] != nil {
			t.Fatal(len(l.servers.ring), "kept")
		}
		l.AttemptDone(1, AttemptResult{Request: "j", Outcome: Succeeded, Duration: 1, Final: true})
		if l.tick(1); len(l.servers.ring)+len(l.servers.byID) > 0 {
			t.Fatal(len(l.servers.ring), "kept")
		}
	})
	t.Run("the first limit of a server is shared by all limiters", func(t *testing.T) {
		l, _ := made()
		if limit := l.servers.byID["a"].limit; limit*2 != initialLimitRequests*l.settings.MaxRequestUnits {
			t.Fatal("limit", limit)
		}
	})
	t.Run("a new process starts with a clean record but for what is out", func(t *testing.T) {
		l, _ := made()
		sent(l, "read")
		l.outliers.eject(0, l.servers.byID["a"], "")
		l.UpdateEndpoints(second, false, []Endpoint{{ID: "a", StartedAt: second}})
		if a := l.servers.byID["a"]; a.health.state != healthy || a.inFlight != 2 || l.slowStart.weight(second, a) != l.settings.ColdCapacity {
			t.Fatal("standing", a.health.state, "out", a.inFlight)
		}
	})
}

func TestLeft(t *testing.T) {
	t.Run("nothing is sent for a client that has gone", func(t *testing.T) {
		l, d := made()
		sent(l, "read")
		l.ClientDisconnected(1, "j")
		l.AttemptDone(2, AttemptResult{Request: "j", Outcome: Overloaded, Duration: 2})
		if expect(t, d, "send j a"); l.requests.byID["j"] != nil {
			t.Fatal("the request is kept")
		}
	})
}

func TestMove(t *testing.T) {
	t.Run("an ended request keeps its end", func(t *testing.T) {
		defer func() {
			if recover() == nil {
				t.Fatal("it moved")
			}
		}()
		(&request{state: stateAnswered}).move(stateRejected)
	})
}

// A part of a ceiling starts empty, and customers inside their quotas are rejected until it has filled.
func TestReady(t *testing.T) {
	for _, c := range []struct {
		name        string
		rate, burst float64
		warm, want  int64
	}{
		{"no ceiling", 0, 0, 10 * second, 0},
		{"once each limiter's part holds the largest request", 4, 16, 10 * second, 2 * second},
		{"once it is full", 4, 4, 10 * second, second},
		{"but no later than a server would be warm", 4, 16, second, second},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, _ := made()
			l.settings.Plans["hard"].CeilingRate, l.settings.Plans["hard"].CeilingBurst, l.settings.SlowStartWindow = c.rate, c.burst, c.warm
			if at := l.ReadyAt(); at != c.want {
				t.Fatal("ready at", at)
			}
		})
	}
}

func TestForget(t *testing.T) {
	// Kept for good, customers that come once would fill the memory.
	t.Run("keeps a customer while its part of a ceiling is not full", func(t *testing.T) {
		l, _ := made()
		l.forgetAccounts(second)
		early := len(l.accounts.byCustomer)
		l.accounts.byCustomer[4].ceiling.updatedAt, l.accounts.byCustomer[4].ceiling.tokens = 100*second, 7
		l.forgetAccounts(100 * second)
		if early != 2 || l.accounts.byCustomer[5] != nil || l.accounts.byCustomer[4] == nil {
			t.Fatal(early, "kept, then", len(l.accounts.byCustomer))
		}
		if l.forgetAccounts(101 * second); len(l.accounts.byCustomer) > 0 {
			t.Fatal(len(l.accounts.byCustomer), "kept")
		}
		if a := l.useAccount(101*second, arrival("", "read", "hard"), l.settings.Plans["hard"]); a.ceiling.refill(101*second) != 8 {
			t.Fatal("a new one holds", a.ceiling.tokens)
		}
	})
	t.Run("keeps a customer with units out, for the true ones are settled with its account", func(t *testing.T) {
		l, d := made()
		l.sampling.rate = 0 // the slice decides, and what it sends is owed
		l.RequestArrived(second, arrival("j", "read", "plain"))
		a := l.requests.byID["j"].account
		for now := second; now < 200*second; now += second {
			l.forgetAccounts(now)
		}
		if l.accounts.byCustomer[a.id] != a {
			t.Fatal("it is forgotten while an attempt is out")
		}
		d.did = nil
		l.AttemptDone(200*second, AttemptResult{Request: "j", Outcome: Succeeded, ActualUnits: 3, Duration: second, Final: true})
		if l.ShutDown(200 * second); len(d.did) != 1 {
			t.Fatalf("did %q: the true units are lost", d.did)
		}
		if l.forgetAccounts(400 * second); l.accounts.byCustomer[a.id] != nil {
			t.Fatal("it is kept for good")
		}
	})
	t.Run("lets go of a customer that was sent for, whether its plan has a ceiling or not", func(t *testing.T) {
		for _, plan := range []string{"plain", "hard", "free"} {
			l, _ := made()
			l.settings.Plans["free"], l.accounts.byCustomer = &Plan{}, map[uint64]*account{}
			l.RequestArrived(3*second, arrival("j", "read", plan))
			l.CounterReplied(3*second, l.requests.byID["j"].reservation.name, Succeeded, 2)
			l.AttemptDone(4*second, AttemptResult{Request: "j", Outcome: Succeeded, Duration: second, Final: true})
			if l.forgetAccounts(200 * second); len(l.accounts.byCustomer) > 0 {
				t.Fatalf("%s: %d kept", plan, len(l.accounts.byCustomer))
			}
		}
	})
}

func TestAgain(t *testing.T) {
	for _, c := range []struct {
		name string
		set  func(l *Controller, q *request)
	}{
		{"no attempt is left", func(l *Controller, q *request) { l.settings.MaxAttempts = 1 }},
		{"no second attempt is in hand", func(l *Controller, q *request) { l.retries.retries = 0 }},
		{"an attempt is out", func(l *Controller, q *request) {}},
		{"its time is over", func(l *Controller, q *request) { q.deadline = 0 }},
	} {
		t.Run("sends nothing when "+c.name, func(t *testing.T) {
			l, _ := made()
			q := sent(l, "read")
			if q.openAttempts = 0; c.name == "an attempt is out" {
				q.openAttempts = 1
			}
			if c.set(l, q); l.retry(1, q) {
				t.Fatal("it did")
			}
		})
	}
}

func TestAnswer(t *testing.T) {
	for _, c := range []struct {
		name, class string
		outcome     Outcome
		want        string
	}{
		{"a non-idempotent request that never ran goes elsewhere", "write", Overloaded, "send j b"},
		{"a non-idempotent request that may have run fails", "write", ConnectionLost, "fail j"},
		{"a keyed request that may have run stays in its group", "mark", ConnectionLost, "fail j"},
		{"an idempotent request goes elsewhere", "read", ServerError, "send j b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, d := made()
			sent(l, c.class)
			l.AttemptDone(second/10, AttemptResult{Request: "j", Outcome: c.outcome, Duration: second / 10})
			expect(t, d, c.want)
		})
	}
	t.Run("a server that fails quickly draws no requests", func(t *testing.T) {
		l, _ := made()
		sent(l, "read")
		l.servers.byID["a"].health.failureRatio = maxFailureRatio
		l.AttemptDone(1, AttemptResult{Request: "j", Outcome: ServerError, Duration: 1})
		if s := l.servers.byID["a"]; s.health.state != ejected || s.pace.units > 0 {
			t.Fatal("not set aside, or its pace is counted")
		}
	})
	t.Run("true units settle the reservation once", func(t *testing.T) {
		l, d := made()
		q := sent(l, "read")
		l.AttemptDone(second/10, AttemptResult{Request: "j", Outcome: Succeeded, Duration: second / 10, Final: true, ActualUnits: 5})
		expect(t, d, "send j a", "count 3")
		if l.requests.byID["j"] != nil || q.state != stateAnswered || q.account.sharedQuota.tokens > 5.6 {
			t.Fatalf("request is kept in state %d, the store holds %v", q.state, q.account.sharedQuota.tokens)
		}
	})
}

func TestWoken(t *testing.T) {
	t.Run("at its end a non-idempotent request that is out fails", func(t *testing.T) {
		l, d := made()
		q := sent(l, "write")
		l.TimerFired(q.deadline, q.timer)
		expect(t, d, "fail j")
	})
	t.Run("at its end an idempotent request is rejected", func(t *testing.T) {
		l, d := made()
		q := sent(l, "read")
		l.TimerFired(q.deadline, q.timer)
		expect(t, d, "reject j")
	})
}

func TestPick(t *testing.T) {
	probe := &request{units: 2, class: &Class{}}
	t.Run("takes turns", func(t *testing.T) {
		l, _ := made()
		if a, b := l.pickServer(0, probe), l.pickServer(0, probe); a == b {
			t.Fatal("the same server twice")
		}
	})
	t.Run("gives a server that fails fewer turns", func(t *testing.T) {
		l, _ := made()
		l.servers.byID["a"].health.failureRatio = 0.5
		if a, b := l.rotation.weight(0, l.servers.byID["a"]), l.rotation.weight(0, l.servers.byID["b"]); a != b/2 {
			t.Fatal("weights", a, b)
		}
	})
	t.Run("passes a server on trial for non-idempotent requests, and for others while one is out", func(t *testing.T) {
		l, _ := made()
		a := l.servers.byID["a"]
		a.health.state = halfOpen
		reindex(l, 0)
		free, nonIdempotent := l.servers.mayReceive(0, probe, a), l.servers.mayReceive(0, &request{class: l.settings.Classes["write"]}, a)
		l.send(0, &request{class: probe.class}, a)
		if !free || nonIdempotent || l.servers.mayReceive(0, probe, a) {
			t.Fatal("usable", free, nonIdempotent, l.servers.mayReceive(0, probe, a))
		}
	})
	t.Run("passes a server that drains", func(t *testing.T) {
		l, _ := made()
		l.UpdateEndpoints(0, false, []Endpoint{{ID: "a", State: EndpointDraining}, {ID: "b", State: EndpointGone}})
		if s := l.pickServer(0, probe); s != nil {
			t.Fatal("took", s.id)
		}
	})
	t.Run("gives a cold server its part of the turns", func(t *testing.T) {
		l, _ := made()
		l.servers.byID["a"].startedAt = second
		reindex(l, second)
		turns := 0
		for range 100 {
			if l.pickServer(second, probe) == l.servers.byID["a"] {
				turns++
			}
		}
		if turns < 15 || turns > 25 {
			t.Fatal(turns, "turns of 100")
		}
	})
}

func TestLook(t *testing.T) {
	out := func(l *Controller, id string, s *server) *request {
		q := &request{id: id, class: l.settings.Classes["read"], state: stateInFlight, units: 1, deadline: 9 * second}
		l.send(0, q, s)
		return q
	}
	t.Run("a silent server is set aside and its request goes elsewhere", func(t *testing.T) {
		l, d := made()
		sent(l, "read")
		out(l, "k", l.servers.byID["a"]).state = stateAnswered
		l.settings.CanCancel = true
		l.tick(second * 3 / 4)
		expect(t, d, "cancel j 0")
		if l.servers.byID["a"].health.state != ejected {
			t.Fatal("not set aside")
		}
	})
	t.Run("a lone attempt shows a silent server only after the target latency, and is not copied then", func(t *testing.T) {
		l, d := made()
		a := l.servers.byID["a"]
		out(l, "k", a)
		l.tick(second * 3 / 4)
		early := a.health.state
		l.tick(second * 5 / 4)
		if expect(t, d, "send k a"); early != healthy || a.health.state != ejected {
			t.Fatal("standing", early, "then", a.health.state)
		}
	})
	t.Run("its attempt is called off, then sent again", func(t *testing.T) {
		l, d := made()
		l.settings.CanCancel = true
		sent(l, "read")
		l.outliers.eject(0, l.servers.byID["a"], "")
		l.tick(second / 2)
		expect(t, d, "cancel j 0")
		l.AttemptDone(second/2, AttemptResult{Request: "j", Outcome: Cancelled, Duration: second / 2})
		expect(t, d, "send j b")
	})
	t.Run("an attempt that is out too long lowers the limit once, before its answer", func(t *testing.T) {
		l, _ := made()
		a := l.servers.byID["a"]
		out(l, "k", a)
		before := a.limit
		l.tick(second * 6 / 10)
		once := a.limit
		l.tick(second * 7 / 10)
		if once >= before || a.limit != once {
			t.Fatal("limit", before, once, a.limit)
		}
	})
	t.Run("at least a quarter of the servers stays", func(t *testing.T) {
		l, _ := made()
		for _, s := range l.servers.ring {
			l.outliers.eject(0, s, "")
		}
		if l.servers.byID["a"].health.state != ejected || l.servers.byID["b"].health.state != healthy {
			t.Fatal("none is left, or none is set aside")
		}
	})
	t.Run("it comes back after it has answered probes, cold where it failed", func(t *testing.T) {
		l, _ := made()
		a := l.servers.byID["a"]
		a.health.failureRatio = 1
		l.outliers.eject(0, a, "")
		l.HealthCheckDone(second, "a", Succeeded)
		once := a.health.state
		l.HealthCheckDone(second, "a", Succeeded)
		if once != ejected || a.health.state != halfOpen || l.slowStart.weight(second, a) != l.settings.ColdCapacity {
			t.Fatal("standing", once, "then", a.health.state, "warmth", l.slowStart.weight(second, a))
		}
	})
}

func TestAble(t *testing.T) {
	t.Run("the room holds for all servers together", func(t *testing.T) {
		l, _ := made()
		l.concurrency.inFlightLimit = 4
		l.servers.byID["a"].inFlight = 3
		reindex(l, 0)
		if able := l.eligibleServers(0, &request{units: 2, class: &Class{}}); able != nil {
			t.Fatal(len(able), "servers are able")
		}
	})
	t.Run("a full server rests for a look", func(t *testing.T) {
		l, _ := made()
		q := sent(l, "read")
		l.AttemptDone(1, AttemptResult{Request: "j", Outcome: Overloaded, Duration: 1})
		q.attempts = nil
		if able := l.eligibleServers(2, q); len(able) != 0 && able[0].id == "a" {
			t.Fatal("it is asked again at once")
		}
	})
	t.Run("a keyed request that may have run looks in its group alone", func(t *testing.T) {
		l, _ := made()
		l.UpdateEndpoints(0, false, []Endpoint{{ID: "c", Zone: "x"}})
		l.servers.byID["c"].turns.current = 0
		byName(l)
		q := sent(l, "mark")
		if able := l.eligibleServers(second/2, q); len(able) != 1 || able[0].id != "c" {
			t.Fatal(len(able), "servers are able")
		}
		if able := l.eligibleServers(second, q); len(able) != 0 {
			t.Fatal("after its window")
		}
	})
}

func TestSlice(t *testing.T) {
	t.Run("among many limiters it still holds the largest request", func(t *testing.T) {
		l, d := made()
		l.sampling.rate = 0
		a := arrival("j", "read", "plain")
		a.Limiters = 200
		l.RequestArrived(0, a)
		expect(t, d, "send j a")
	})
}

func TestSee(t *testing.T) {
	// Others have added 8 units, now or a filling of the store ago; the second look must tell them apart.
	for _, c := range []struct {
		name        string
		known       bool
		added, held float64
	}{
		{"at first sight, use of just now counts in full", false, 8 * math.E, 2},
		{"at first sight, use of a filling ago has faded", false, 8, 10 - 8/math.E},
		{"what is known since shortly before stands", true, 0, 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, _ := made()
			now := 2 * second // the store of 10 fills at 5 a second
			a := l.useAccount(now, arrival("", "read", "plain"), l.settings.Plans["plain"])
			a.window.known, a.window.seenAt, a.sharedQuota.tokens, a.sharedQuota.updatedAt = c.known, now, 10, now
			l.reservations.rollOver(now, a)
			l.reservations.observe(now, counterCall{request: &request{}, account: a}, a.counterName(), c.added)
			if math.Abs(a.sharedQuota.tokens-c.held) > 1e-9 {
				t.Fatal("holds", a.sharedQuota.tokens)
			}
		})
	}
}

// The first requests of a limiter among hundreds come together by chance as later ones do.
func TestFirstRoom(t *testing.T) {
	for _, c := range []struct {
		limiters, servers int
		least             float64
	}{{300, 180, 14}, {3, 9, 36}} {
		l, _ := made()
		l.settings.Limiters, l.concurrency.minServerLimit, l.concurrency.inFlightLimit, l.servers.byID, l.servers.ring = c.limiters, l.settings.MaxRequestUnits/float64(c.limiters), 0, map[string]*server{}, nil
		l.servers.index = serverIndex{}
		var entries []Endpoint
		for i := range c.servers {
			entries = append(entries, Endpoint{ID: fmt.Sprint(i), Weight: 1})
		}
		if l.UpdateEndpoints(0, true, entries); l.concurrency.inFlightLimit < l.concurrency.minInFlightLimit()+burstDeviations*math.Sqrt(l.concurrency.minInFlightLimit()*l.settings.MaxRequestUnits) || l.concurrency.inFlightLimit < c.least {
			t.Fatalf("%d limiters begin with room for %v units at %d servers", c.limiters, l.concurrency.inFlightLimit, c.servers)
		}
	}
}

func TestRoom(t *testing.T) {
	t.Run("late attempts at any server narrow it, down to a request a server over all limiters", func(t *testing.T) {
		l, _ := made()
		q := sent(l, "read")
		l.concurrency.checkOverdue(second, q.attempts[0])
		if l.concurrency.inFlightLimit != 20-1 {
			t.Fatal("it is", l.concurrency.inFlightLimit)
		}
		if l.concurrency.inFlightLimit = 4.5; l.concurrency.inFlightLimit < l.concurrency.minInFlightLimit() {
			t.Fatal("the least is", l.concurrency.minInFlightLimit())
		}
		l.concurrency.decrease(q.units)
		if l.concurrency.inFlightLimit != 4 {
			t.Fatal("it is", l.concurrency.inFlightLimit)
		}
	})
	t.Run("a further attempt that was answered promptly is paid back", func(t *testing.T) {
		l, _ := made()
		q := sent(l, "read")
		l.retries.retries = 1
		l.retry(0, q)
		l.AttemptDone(1, AttemptResult{Request: "j", Attempt: 1, Outcome: Succeeded, Duration: 1, Final: true})
		if l.retries.retries != 1 {
			t.Fatal("in hand", l.retries.retries)
		}
	})
}

// fleet is so many limiters that know the same servers, each with its place.
func fleet(limiters int, entries []Endpoint) []*Controller {
	all := make([]*Controller, limiters)
	for i := range all {
		l, _ := made()
		l.settings.Limiters, l.settings.Position = limiters, i
		l.UpdateEndpoints(0, true, entries)
		l.TimerFired(0, 0) // lets go of the two servers that made knows
		l.UpdateEndpoints(0, true, entries)
		all[i] = l
	}
	return all
}

func TestCircle(t *testing.T) {
	const limiters = 80
	var entries []Endpoint
	for i := range 60 {
		entries = append(entries, Endpoint{ID: fmt.Sprint("s", i), Weight: 1})
	}
	ids := func(servers []*server) map[string]bool {
		set := map[string]bool{}
		for _, s := range servers {
			set[s.id] = true
		}
		return set
	}
	both := func(a, b map[string]bool) (n int) {
		for id := range a {
			if b[id] {
				n++
			}
		}
		return n
	}
	all, share := fleet(limiters, entries), map[string]int{}
	circles := make([]map[string]bool, limiters)
	for i, l := range all {
		circles[i] = ids(l.servers.ring[:l.servers.subsetSize()])
		for id := range circles[i] {
			share[id]++
		}
	}
	l := all[7]
	able := func() map[string]bool { return ids(l.eligibleServers(0, &request{class: l.settings.Classes["read"]})) }
	t.Run("each server is shared by as many limiters, and neighbours in number share few", func(t *testing.T) {
		for id, n := range share {
			if n < limitersPerServer-2 || n > limitersPerServer+2 {
				t.Fatalf("%s is shared by %d", id, n)
			}
		}
		for i := range limiters - 1 {
			if n := both(circles[i], circles[i+1]); n > len(circles[i])/2 {
				t.Fatalf("%d and %d share %d of %d", i, i+1, n, len(circles[i]))
			}
		}
	})
	t.Run("those beyond it come in for each that cannot be used, and one at a time where none has room", func(t *testing.T) {
		if n := both(able(), circles[7]); n != l.servers.subsetSize() || len(able()) != n {
			t.Fatal(n, "servers")
		}
		for _, s := range l.servers.ring[:l.servers.subsetSize()/2] {
			s.health.state = ejected
		}
		reindex(l, 0)
		if n := len(able()); n != l.servers.subsetSize() {
			t.Fatal(n, "servers with half of them aside")
		}
		for _, s := range l.servers.ring[:2*l.servers.subsetSize()] {
			s.health.state, s.overloadedUntil = healthy, 1
		}
		reindex(l, 0)
		if n := len(able()); n != 1 {
			t.Fatal(n, "servers where all are full")
		}
	})
	t.Run("a limiter that is not told its place uses all servers", func(t *testing.T) {
		l, _ := made()
		l.settings.Limiters, l.settings.Position = limiters, -1
		if l.UpdateEndpoints(0, true, entries); l.servers.subsetSize() != len(l.servers.ring) {
			t.Fatal(l.servers.subsetSize(), "of", len(l.servers.ring))
		}
	})
	t.Run("a server that goes moves no limiter by more than two others", func(t *testing.T) {
		for i, l := range all {
			l.UpdateEndpoints(1, false, []Endpoint{{ID: "s33", State: EndpointGone}})
			l.TimerFired(1, 0)
			l.UpdateEndpoints(1, false, nil)
			if kept := both(ids(l.servers.ring[:l.servers.subsetSize()]), circles[i]); kept < len(circles[i])-3 {
				t.Fatalf("limiter %d kept %d of %d", i, kept, len(circles[i]))
			}
		}
	})
	t.Run("cold servers get no more than their part of all limiters' turns together", func(t *testing.T) {
		for i := range 12 { // one in five has just started
			entries[5*i].StartedAt = second
		}
		turns, cold := map[string]float64{}, 0.0
		for i, l := range fleet(limiters, entries) {
			for range 50 * (1 + i%3) { // some get three times as many requests as others
				turns[l.pickServer(second, &request{class: l.settings.Classes["read"]}).id]++
			}
		}
		warm := 0.0
		for _, e := range entries {
			if e.StartedAt == 0 {
				warm += turns[e.ID] / 48
			}
		}
		for i := range 12 {
			cold = max(cold, turns[entries[5*i].ID])
		}
		if part := cold / warm; part > 0.25*2 { // it falls at three times its part
			t.Fatalf("a cold server gets %v of a warm one's turns", part)
		}
	})
}

func TestEase(t *testing.T) {
	for _, c := range []struct {
		name    string
		reports []float64 // seconds that requests stay, each a server's latest
		age     int64
		able    bool
	}{
		{"no report: the room binds", nil, 0, false},
		{"requests stay for a fifth of the target latency: there is room", []float64{0.2, 0.2, 0.2}, 0, true},
		{"and one stuck server among many does not hide it", []float64{0.2, 0.2, 0.2, 0.2, 30, 0.2, 0.2, 0.2, 0.2, 0.2}, 0, true},
		{"requests stay for most of the target latency: the room binds", []float64{0.8, 0.8, 0.8}, 0, false},
		{"reports have grown old: the room binds", []float64{0.2, 0.2, 0.2}, 2 * second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, _ := made()
			for _, stay := range c.reports {
				att := &attempt{request: &request{class: l.settings.Classes["read"], units: 1}, server: l.servers.byID["a"]}
				l.recordResult(1, att, &AttemptResult{Outcome: Succeeded, Load: LoadReport{InFlight: 10 * stay, Throughput: 10}})
			}
			l.concurrency.inFlightLimit = 2.5
			l.servers.byID["a"].inFlight = 3
			reindex(l, c.age)
			if able := l.eligibleServers(c.age, &request{class: l.settings.Classes["read"], units: 1}); len(able) > 0 != c.able {
				t.Fatalf("able %v with a room of %v eased by %v", able, l.concurrency.inFlightLimit, l.concurrency.residenceFactor(c.age, l.settings.Classes["read"]))
			}
		})
	}
}

func TestAsked(t *testing.T) {
	share := func(phase int64, costs float64) int {
		l, _ := made()
		a := l.useAccount(0, arrival("", "read", "plain"), l.settings.Plans["plain"])
		a.window.offset, a.plan.OverQuotaPenalty, a.plan.PriorityWeight = phase, costs, 1
		l.sampling.rate, l.sampling.meanPenalty = 0.5, 1
		n := 0
		for range 100 {
			if l.sampling.includes(a) {
				n++
			}
			l.sampling.meanPenalty = 1
		}
		return n
	}
	t.Run("some customers are always asked for", func(t *testing.T) {
		if n := share(math.MaxInt64/2, 1); n != 100 {
			t.Fatal(n, "of 100")
		}
	})
	t.Run("where going beyond costs less only now and then", func(t *testing.T) {
		if n := share(math.MaxInt64/2, 0.1); n == 0 || n > 20 {
			t.Fatal(n, "of 100")
		}
	})
}

func TestNarrow(t *testing.T) {
	for _, c := range []struct {
		name       string
		slow, left float64
	}{
		{"where answers are slow a late attempt takes four times what a prompt one adds", 0.5, 19},
		{"where answers are prompt, the others silent, it takes as much", 0, 19.75},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, _ := made()
			l.concurrency.overloadRatio = c.slow
			if l.concurrency.decrease(2); l.concurrency.inFlightLimit != c.left {
				t.Fatal("left", l.concurrency.inFlightLimit)
			}
		})
	}
}

func TestLearn(t *testing.T) {
	t.Run("a server that takes no connection is set aside at once, for the target latency", func(t *testing.T) {
		l, _ := made()
		q := sent(l, "read")
		l.recordResult(0, q.attempts[0], &AttemptResult{Outcome: ConnectFailed})
		if s := l.servers.byID["a"]; s.health.state != ejected || s.health.nextCheck != second {
			t.Fatal("standing", s.health.state, "until", s.health.nextCheck)
		}
	})
	t.Run("the room grows to what chance brings together and no further", func(t *testing.T) {
		l, _ := made()
		q := sent(l, "read")
		l.concurrency.meanInFlight, l.concurrency.inFlightLimit = 4, 19.9 // the load and four deviations of it are 20
		for range 3 {
			l.recordResult(0, q.attempts[0], &AttemptResult{Outcome: Succeeded, Duration: 1})
		}
		if l.concurrency.inFlightLimit != 20.15 {
			t.Fatal("it is", l.concurrency.inFlightLimit)
		}
	})
}

func TestMembersBeginAnywhere(t *testing.T) {
	first := map[string]bool{}
	for seed := range int64(20) {
		d := &effects{}
		read := &Class{LatencyObjective: second, PriorityWeight: 1}
		l := New(0, &Settings{Limiters: 20, MaxRequestUnits: 1, SlowStartWindow: 1, Classes: map[string]*Class{"read": read}}, seed, d)
		l.UpdateEndpoints(0, true, []Endpoint{{ID: "a"}, {ID: "b"}})
		first[l.pickServer(0, &request{units: 1, class: read}).id] = true
	}
	if len(first) != 2 {
		t.Fatal("all begin at", first)
	}
}

func TestCap(t *testing.T) {
	capped := func() (*Controller, *effects) {
		l, d := made()
		l.settings.Plans["cap"] = &Plan{MaxInFlight: 2, OverQuotaRevenue: 0.1}
		opens(l, "cap", 0)
		return l, d
	}
	t.Run("counts each request as one, whatever its units, and lets none in beyond it though that would earn", func(t *testing.T) {
		l, d := capped()
		q := reserving(l, "read", "cap")
		expect(t, d, "count 1")
		l.CounterReplied(0, q.reservation.name, Succeeded, 3) // two of others have just gone out
		expect(t, d, "count -1", "reject j")
		d.because(t, RejectedForQuota)
	})
	t.Run("a place fades with the attempts that hold it", func(t *testing.T) {
		l, d := capped()
		reserving(l, "read", "cap")
		acc := l.requests.byID["j"].account
		l.CounterReplied(0, l.requests.byID["j"].reservation.name, Succeeded, 3)
		l.RequestArrived(second, arrival("k", "read", "cap"))
		if last := d.did[len(d.did)-1]; !strings.HasPrefix(last, "count ") || acc.sharedQuota.tokens < 1 {
			t.Fatalf("did %q, level %v", d.did, acc.sharedQuota.tokens)
		}
	})
	t.Run("true units change nothing of it", func(t *testing.T) {
		l, d := capped()
		q := reserving(l, "read", "cap")
		l.CounterReplied(0, q.reservation.name, Succeeded, 1)
		d.did = nil
		l.AttemptDone(1, AttemptResult{Request: "j", Outcome: Succeeded, Duration: 1, Final: true, ActualUnits: 4})
		if len(d.did) != 0 || q.account.window.pendingAdjustment != 0 {
			t.Fatalf("did %q, owes %v", d.did, q.account.window.pendingAdjustment)
		}
	})
}

func TestLost(t *testing.T) {
	for _, c := range []struct {
		name  string
		class string
		slow  float64
		at    int64
		want  string
	}{
		{"an attempt out for many times its request's time is called off", "read", 0, second / 3, "cancel j 0"},
		{"but not before that", "read", 0, second / 5, "send j a"},
		{"nor where what is answered is slow", "read", 1, second / 3, "send j a"},
		{"nor where it cannot go again", "write", 0, second / 3, "send j a"},
		{"a request past its target latency is given up at once", "read", 0, second + 1, "reject j"},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, d := made()
			l.settings.CanCancel = true
			q := sent(l, c.class)
			l.concurrency.overloadRatio = c.slow
			for _, s := range l.servers.ring {
				s.pace.seconds, s.pace.units = 0.02, 2 // 10 ms a unit
			}
			if l.tick(c.at); c.want == "reject j" {
				expect(t, d, "reject j", "cancel j 0")
				return
			}
			expect(t, d, c.want)
			if c.want == "cancel j 0" {
				l.AttemptDone(c.at, AttemptResult{Request: "j", Outcome: Cancelled, Duration: c.at})
				if expect(t, d, "send j b"); q.attempts[0].server.health.failureRatio == 0 {
					t.Fatal("it does not count against its server")
				}
			}
		})
	}
}

func TestColdTurns(t *testing.T) {
	l, _ := made()
	l.UpdateEndpoints(second, true, []Endpoint{{ID: "a", Zone: "x", Weight: 1}, {ID: "b", Zone: "y", Weight: 1, StartedAt: second}})
	l.tick(second)
	a, b := l.servers.byID["a"], l.servers.byID["b"]
	a.overloadedUntil, b.turns.slowStart = 1<<62, 0
	got := 0
	for range 100 { // the warm one has no room: the cold one gets its turns and no more
		if s := l.pickServer(second, &request{units: 1, class: l.settings.Classes["read"]}); s == b {
			got++
		}
	}
	if share := l.settings.ColdCapacity / (1 + l.settings.ColdCapacity); float64(got) < 90*share || float64(got) > 100*share+1 {
		t.Fatal("it got", got, "of 100")
	}
}

// Where cold servers begin at nothing, a pick at the very start of all of them leaves their turns as they are.
func TestColdFromNothing(t *testing.T) {
	l, _ := made()
	l.settings.ColdCapacity = 0
	l.UpdateEndpoints(second, true, []Endpoint{{ID: "a", Zone: "x", Weight: 1, StartedAt: second}, {ID: "b", Zone: "y", Weight: 1, StartedAt: second}})
	l.tick(second)
	l.pickServer(second, &request{units: 1, class: l.settings.Classes["read"]})
	l.UpdateEndpoints(second, false, []Endpoint{{ID: "a", Zone: "x", Weight: 1, StartedAt: 1}}) // a was a mistake: it is warm
	a, b := l.servers.byID["a"], l.servers.byID["b"]
	a.startedAt, a.overloadedUntil, b.turns.slowStart = 0, 1<<62, math.Min(b.turns.slowStart, 0)
	reindex(l, second)
	now := 2 * second // b is warm for a tenth
	l.tick(now)
	got := 0
	for range 110 { // its part of both is one in eleven
		if s := l.pickServer(now, &request{units: 1, class: l.settings.Classes["read"]}); s == b {
			got++
		}
	}
	if got < 8 || got > 11 {
		t.Fatal("it got", got, "of 110")
	}
}

// A server that got hundreds of requests while it was warm owes none of those turns when it comes back cold.
func TestColdAgain(t *testing.T) {
	l, _ := made()
	a, b := l.servers.byID["a"], l.servers.byID["b"]
	l.tick(0)
	for range 500 {
		l.pickServer(0, &request{units: 1, class: l.settings.Classes["read"]})
	}
	b.health.failureRatio = 1
	l.outliers.reinstate(second, b)
	a.overloadedUntil, b.health.failureRatio = 1<<62, 0
	for range 40 {
		if l.pickServer(second, &request{units: 1, class: l.settings.Classes["read"]}) == b {
			return
		}
	}
	t.Fatal("it gets none of 40, and owes", -b.turns.slowStart)
}

func TestValue(t *testing.T) {
	l, _ := made()
	dear := &Class{LatencyObjective: second / 2, PriorityWeight: 5}
	l.settings.Classes["dear"], l.concurrency.inFlightLimit = dear, 4
	l = func() *Controller {
		n := New(0, l.settings, 1, &effects{})
		n.UpdateEndpoints(0, true, []Endpoint{{ID: "a"}, {ID: "b"}})
		return n
	}()
	l.concurrency.inFlightLimit = 4
	l.servers.byID["a"].inFlight = 2
	reindex(l, 0)
	if len(l.eligibleServers(0, &request{units: 2, class: dear})) == 0 {
		t.Fatal("the dearest class's requests do not get all of the room")
	}
	if len(l.eligibleServers(0, &request{units: 2, class: l.settings.Classes["read"]})) != 0 {
		t.Fatal("a cheap class's requests get as much room")
	}
	l.concurrency.reportedAt, l.concurrency.meanResidence = 1, math.Log(0.2)
	if e := l.concurrency.residenceFactor(1, l.settings.Classes["read"]); math.Abs(e-1.25) > 1e-9 { // by half a second, not one
		t.Fatal("a longer target latency widens the room by", e)
	}
}

func TestStay(t *testing.T) {
	for _, c := range []struct {
		report LoadReport
		want   float64
	}{
		{LoadReport{InFlight: 6, Throughput: 12, ServiceTime: second}, 0.5},
		{LoadReport{ServiceTime: second / 4, Queued: 5, Throughput: 20}, 0.5},
		{LoadReport{ServiceTime: second / 4, Queued: 5}, 0.25},
		{LoadReport{InFlight: 6}, 0},
	} {
		if got := c.report.residenceSeconds(); got != c.want {
			t.Errorf("%+v: %v, want %v", c.report, got, c.want)
		}
	}
}

func TestSettleWhileCrowded(t *testing.T) {
	l, d := made()
	q := sent(l, "read")
	l.sampling.rate = 0.5
	l.AttemptDone(1, AttemptResult{Request: "j", Outcome: Succeeded, Duration: 1, Final: true, ActualUnits: 4})
	if expect(t, d, "count 2", "send j a"); q.account.window.pendingAdjustment < 1.99 || q.account.window.pendingAdjustment > 2.01 {
		t.Fatal("owes", q.account.window.pendingAdjustment)
	}
}

func TestCapWithRateAndCeiling(t *testing.T) {
	l, d := made()
	l.settings.Plans["cap+rate"] = &Plan{Rate: 5, Burst: 40, MaxInFlight: 4, CeilingRate: 8, CeilingBurst: 16}
	opens(l, "cap+rate", second)
	q := func() *request {
		l.RequestArrived(second, arrival("j", "read", "cap+rate"))
		return l.requests.byID["j"]
	}()
	// The burst is what four requests of half the largest size take, and units are counted, not places.
	if expect(t, d, "count 2"); q.account.sharedQuota.burst != 8 {
		t.Fatal("the store holds", q.account.sharedQuota.burst)
	}
	l.CounterReplied(second, q.reservation.name, Succeeded, 2)
	if expect(t, d, "count 2", "send j a"); q.account.ceiling.tokens != 2 { // half of 8 units filled, 2 taken
		t.Fatal("the ceiling's part holds", q.account.ceiling.tokens)
	}
	l.AttemptDone(second, AttemptResult{Request: "j", Outcome: Succeeded, Duration: 1, Final: true, ActualUnits: 4})
	if expect(t, d, "count 2"); q.account.ceiling.tokens != 2 { // settled on the quota, not on the ceiling
		t.Fatal("the ceiling's part holds", q.account.ceiling.tokens)
	}
	l.RequestArrived(second, Arrival{ID: "k", Timeout: second, Customer: 8, Plan: "cap+rate", Class: "read", Units: 3, Limiters: 2})
	expect(t, d, "reject k")
	d.because(t, RejectedForCeiling)
}

func TestRepeatsWithinAPod(t *testing.T) {
	pod := &Class{LatencyObjective: second, Idempotency: IdempotentWithKey, DeduplicationScope: ScopeCell, DeduplicationWindow: second, PriorityWeight: 1}
	first := &attempt{server: &server{cell: 3, zone: "x"}, sentAt: second, mayHaveRun: true}
	for _, c := range []struct {
		cell, at int64
		want     bool
	}{{3, second * 3 / 2, true}, {4, second * 3 / 2, false}, {3, 2 * second, false}} {
		if got := pod.deduplicates(c.at, first, &server{cell: c.cell, zone: "x"}); got != c.want {
			t.Errorf("cell %d at %d: %v", c.cell, c.at, got)
		}
	}
}

func TestSliceParts(t *testing.T) {
	l, d := made()
	a := l.useAccount(0, Arrival{Customer: 99, Limiters: 4}, &Plan{Rate: 40, Burst: 80})
	for _, c := range []struct{ seen, holds, rate float64 }{{80, 40, 20}, {40, 15, 15}, {0, 0, 10}} {
		if a.resetLocalQuota(0, c.seen); math.Abs(a.localQuota.tokens-c.holds) > 1e-9 || math.Abs(a.localQuota.rate-c.rate) > 1e-9 {
			t.Errorf("seen at %v it holds %v and fills by %v", c.seen, a.localQuota.tokens, a.localQuota.rate)
		}
	}
	l.sampling.rate, l.settings.CounterTimeout = 0, 0
	l.concurrency.reportedAt, l.concurrency.meanResidence = 1, math.Log(0.1)
	slow := l.useAccount(0, arrival("", "read", "plain"), l.settings.Plans["plain"])
	slow.localQuota.tokens, slow.localQuota.rate = -9, 0.1
	l.RequestArrived(0, arrival("j", "read", "plain"))
	if expect(t, d, "reject j"); d.after > second/10+l.tickInterval { // another limiter may have the units
		t.Fatal("told to wait", d.after)
	}
}

func TestAsksRise(t *testing.T) {
	l, _ := made()
	q := reserving(l, "read", "plain")
	l.CounterReplied(0, q.reservation.name, TimedOut, 0)
	var at []float64
	for range 3 {
		l.reservations.reserve(0, &request{id: "k", account: q.account, class: q.class, charge: 1})
		l.CounterReplied(0, q.reservation.name, Succeeded, 1)
		at = append(at, l.sampling.rate)
	}
	if at[0] != 0.75+1.0/256 || at[1] != at[0]+2.0/256 || at[2] != at[1]+3.0/256 {
		t.Fatal("asks rise by", at)
	}
}

package choice

import "testing"

func TestJob(t *testing.T) {
	t.Run("reserves before its first shot", func(t *testing.T) {
		l, d := made()
		l.Job(0, arrival("j", "read", "plain"))
		expect(t, d, "count 2")
	})
	t.Run("of an unknown plan is rejected", func(t *testing.T) {
		l, d := made()
		l.Job(0, arrival("j", "read", "nobody's"))
		expect(t, d, "reject j")
	})
	t.Run("that has no time is rejected", func(t *testing.T) {
		l, d := made()
		a := arrival("j", "read", "plain")
		a.Budget = 0
		l.Job(0, a)
		expect(t, d, "reject j")
	})
	t.Run("right after our start finds our part of the ceiling empty", func(t *testing.T) {
		l, d := made()
		l.Job(0, arrival("j", "read", "hard"))
		expect(t, d, "reject j")
		l.Job(second, arrival("k", "read", "hard"))
		expect(t, d, "count 2")
	})
	t.Run("goes by the slice while the counter is silent", func(t *testing.T) {
		l, d := made()
		l.asks = 0
		l.Job(0, arrival("j", "read", "plain"))
		expect(t, d, "send j a")
	})
}

func TestCounted(t *testing.T) {
	t.Run("within the allowance the job is sent", func(t *testing.T) {
		l, d := made()
		l.Counted(0, reserving(l, "read", "plain").name, Done, 10)
		expect(t, d, "send j a")
	})
	t.Run("past the allowance it is added back and rejected", func(t *testing.T) {
		l, d := made()
		l.Counted(0, reserving(l, "read", "plain").name, Done, 11)
		expect(t, d, "count -2", "reject j")
	})
	t.Run("past the allowance it is sent where the plan earns by it", func(t *testing.T) {
		l, d := made()
		l.set.Plans["plain"].BeyondEarns = 0.3
		l.Counted(0, reserving(l, "read", "plain").name, Done, 11)
		expect(t, d, "count -2", "send j a")
	})
	t.Run("past the allowance it is rejected while more than half of the room is taken", func(t *testing.T) {
		l, d := made()
		l.set.Plans["plain"].BeyondEarns = 0.3
		j := reserving(l, "read", "plain")
		l.busy = true
		l.Counted(0, j.name, Done, 11)
		expect(t, d, "count -2", "reject j")
	})
	t.Run("refused, the slice decides and nothing is added back", func(t *testing.T) {
		l, d := made()
		j := reserving(l, "read", "plain")
		j.account.slice.level = 1
		l.Counted(0, j.name, Full, 0)
		expect(t, d, "count 2", "reject j")
	})
	t.Run("late for a job that the slice has rejected, it is added back", func(t *testing.T) {
		l, d := made()
		j := reserving(l, "read", "plain")
		j.account.slice.level = 1
		l.Woken(second/40, j.token)
		l.Counted(second/30, j.name, Done, 2)
		expect(t, d, "reject j", "count -2")
	})
	t.Run("late for a job that the slice has sent, it stands", func(t *testing.T) {
		l, d := made()
		j := reserving(l, "read", "plain")
		l.Woken(second/40, j.token)
		l.Counted(second/30, j.name, Done, 2)
		expect(t, d, "send j a")
	})
	t.Run("a total that has fallen frees nothing", func(t *testing.T) {
		l, d := made()
		j := reserving(l, "read", "plain")
		j.account.total, j.account.known, j.account.quota.level = 30, true, 1
		l.Counted(0, j.name, Done, 2)
		expect(t, d, "count -2", "reject j")
	})
	t.Run("what is added back to a window that has passed leaves the store alone", func(t *testing.T) {
		l, _ := made()
		j := reserving(l, "read", "plain")
		later := 20 * second
		j.lease = later + 1
		l.Counted(later, j.name, Done, 100)
		l.release(later, j, 2)
		j.reserved = true
		l.release(later, j, 2)
		l.Counted(later, j.name, Done, 98)
		if level := j.account.quota.level; level < 8 {
			t.Fatal("the store has fallen to", level)
		}
	})
	t.Run("what others added while the store was full took nothing from it", func(t *testing.T) {
		l, d := made()
		j := reserving(l, "read", "plain")
		j.account.known, j.account.quota.level, j.account.quota.spilt = true, 10, 24
		l.Counted(0, j.name, Done, 26)
		expect(t, d, "send j a")
	})
	t.Run("an answer to no call does nothing", func(t *testing.T) {
		l, d := made()
		l.Counted(0, 5, Done, 2)
		expect(t, d)
	})
}

func TestAnswer(t *testing.T) {
	for _, c := range []struct {
		name, track string
		outcome     Outcome
		want        string
	}{
		{"a binding job that never ran goes elsewhere", "write", Full, "send j b"},
		{"a binding job that may have run is written off", "write", Reset, "write off j"},
		{"a fingerprinted job that may have run stays in its group", "mark", Reset, "write off j"},
		{"a retriable job goes elsewhere", "read", Broke, "send j b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, d := made()
			sent(l, c.track)
			l.Answer(second/10, Reply{Job: "j", Outcome: c.outcome, Took: second / 10})
			expect(t, d, c.want)
		})
	}
	t.Run("a server that fails quickly draws no jobs", func(t *testing.T) {
		l, _ := made()
		sent(l, "read")
		l.servers["a"].bad = badMost
		l.Answer(1, Reply{Job: "j", Outcome: Broke, Took: 1})
		if s := l.servers["a"]; s.standing != aside || s.did > 0 {
			t.Fatal("not set aside, or its pace is counted")
		}
	})
	t.Run("true units settle the reservation once", func(t *testing.T) {
		l, d := made()
		j := sent(l, "read")
		l.Answer(second/10, Reply{Job: "j", Outcome: Done, Took: second / 10, Final: true, Units: 5})
		expect(t, d, "send j a", "count 3")
		if l.jobs["j"] != nil || j.state != Served {
			t.Fatalf("job is kept in state %d", j.state)
		}
	})
}

func TestWoken(t *testing.T) {
	t.Run("at its end a binding job that is out is written off", func(t *testing.T) {
		l, d := made()
		j := sent(l, "write")
		l.Woken(j.end, j.token)
		expect(t, d, "write off j")
	})
	t.Run("at its end a retriable job is rejected", func(t *testing.T) {
		l, d := made()
		j := sent(l, "read")
		l.Woken(j.end, j.token)
		expect(t, d, "reject j")
	})
}

func TestPick(t *testing.T) {
	probe := &job{units: 2, track: &Track{}}
	t.Run("takes turns", func(t *testing.T) {
		l, _ := made()
		if a, b := l.pick(0, probe), l.pick(0, probe); a == b {
			t.Fatal("the same server twice")
		}
	})
	t.Run("passes a server that drains", func(t *testing.T) {
		l, _ := made()
		l.Members(0, false, []Entry{{ID: "a", Listing: Draining}, {ID: "b", Listing: Gone}})
		if s := l.pick(0, probe); s != nil {
			t.Fatal("took", s.id)
		}
	})
	t.Run("gives a cold server its part of the turns", func(t *testing.T) {
		l, _ := made()
		l.servers["a"].warmFrom = second
		turns := 0
		for range 100 {
			if l.pick(second, probe) == l.servers["a"] {
				turns++
			}
		}
		if turns < 15 || turns > 25 {
			t.Fatal(turns, "turns of 100")
		}
	})
}

func TestLook(t *testing.T) {
	t.Run("a silent server is set aside and its job goes elsewhere", func(t *testing.T) {
		l, d := made()
		j := sent(l, "read")
		l.send(0, &job{id: "k", track: j.track, state: Out, open: 1}, l.servers["a"])
		l.look(second * 3 / 4)
		expect(t, d, "send j b")
		if l.servers["a"].standing != aside {
			t.Fatal("not set aside")
		}
	})
	t.Run("it comes back after it has answered probes", func(t *testing.T) {
		l, _ := made()
		l.setAside(0, l.servers["a"], "")
		l.Probed(second, "a", Done)
		l.Probed(second, "a", Done)
		if l.servers["a"].standing != trial {
			t.Fatal("still aside")
		}
	})
}

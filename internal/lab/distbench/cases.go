package distbench

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

// Lengths of the cases. Short ones show only that the run works.
type lengths struct {
	idle, settle, regionCut, changesEvery time.Duration
	calm, regionChanges, changes          int
}

var (
	long = lengths{
		idle:          20 * time.Second,
		settle:        2 * time.Second,
		regionCut:     time.Minute,
		changesEvery:  1500 * time.Millisecond,
		calm:          10,
		regionChanges: 10,
		changes:       40,
	}
	short = lengths{
		idle:          time.Second,
		settle:        200 * time.Millisecond,
		regionCut:     2 * time.Second,
		changesEvery:  50 * time.Millisecond,
		calm:          2,
		regionChanges: 2,
		changes:       4,
	}
)

// caseEnd is how long after its publication a version is waited for.
const caseEnd = 30 * time.Second

// Case is one row of the measurement.
type Case struct {
	Name   string `json:"name"`
	Hollow Spread `json:"hollow"`
	// Real is the time until the new discovery was asked; of no limiters where none was moved in the case.
	Real Spread `json:"real"`
}

// CaseNames are the cases, in their order.
var CaseNames = []string{"calm", "killed", "stalled", "zone", "region", "restart", "changes", "cold"}

// run plays one case. Errors: *UnknownCaseError, and those of the fleet.
func (f *Fleet) run(name string, l lengths) ([]Case, error) {
	play := map[string]func(lengths) ([]Case, error){"calm": f.calm, "killed": f.killed, "stalled": f.stalled, "zone": f.zoneCut,
		"region": f.regionCut, "restart": f.restart, "changes": f.changes, "cold": f.cold}[name]
	if play == nil {
		return nil, &UnknownCaseError{Name: name}
	}
	return play(l)
}

// UnknownCaseError is for a case that there is not.
type UnknownCaseError struct{ Name string }

// Error says what happened.
func (e *UnknownCaseError) Error() string { return fmt.Sprintf("there is no case %q", e.Name) }

// Hint says what to do about it.
func (e *UnknownCaseError) Hint() string { return "name some of " + strings.Join(CaseNames, ", ") }

func anywhere(hollowLimiter) bool { return true }

// measure waits for publications at limiters, and sums their times up.
func (f *Fleet) measure(name string, limiters []int, all ...publication) Case {
	var times []time.Duration
	never := 0
	for _, p := range all {
		f.await(limiters, p.version, p.at, time.Until(p.at.Add(caseEnd)))
		for _, limiter := range limiters {
			if after, is := f.ledger.since(limiter, p.version, p.at); is {
				times = append(times, after)
			} else {
				never++
			}
		}
	}
	return Case{Name: name, Hollow: spreadOf(times, never)}
}

// measureReal adds the real limiters' times for the newest publication.
func (f *Fleet) measureReal(c *Case, p publication) {
	var times []time.Duration
	never := 0
	for _, l := range f.real {
		place := l.places[l.at]
		after, asked := place.since(p.at)
		for end := p.at.Add(caseEnd); !asked && time.Now().Before(end); time.Sleep(pollEvery) {
			after, asked = place.since(p.at)
		}
		if asked {
			times = append(times, after)
		} else {
			never++
		}
	}
	c.Real = spreadOf(times, never)
}

// publishAndMeasure is one publication at all limiters.
func (f *Fleet) publishAndMeasure(name string) ([]Case, error) {
	p, err := f.publish()
	if err != nil {
		return nil, err
	}
	c := f.measure(name, f.all(anywhere), p)
	f.measureReal(&c, p)
	return []Case{c}, nil
}

func (f *Fleet) calm(l lengths) ([]Case, error) {
	var all []publication
	var last Case
	for range l.calm {
		p, err := f.publish()
		if err != nil {
			return nil, err
		}
		all = append(all, p)
		last = f.measure("", f.all(anywhere), p)
		f.measureReal(&last, p)
	}
	c := f.measure(fmt.Sprintf("calm, %d changes", l.calm), f.all(anywhere), all...)
	c.Real = last.Real
	return []Case{c}, nil
}

// The relays that fail. Limiters of one that has failed ask their other relay for a while, so each case has its own.
const (
	killedRelay  = 0
	stalledRelay = 1
)

func (f *Fleet) killed(lengths) ([]Case, error) {
	relay := f.relays[killedRelay]
	relay.Kill()
	cases, err := f.publishAndMeasure("a relay killed as it is published")
	if err != nil {
		return nil, err
	}
	return cases, f.startRelay(relay)
}

func (f *Fleet) stalled(lengths) ([]Case, error) {
	relay := f.relays[stalledRelay]
	if err := relay.Signal(syscall.SIGSTOP); err != nil {
		return nil, err
	}
	cases, err := f.publishAndMeasure("a relay stalled as it is published")
	if err != nil {
		return nil, err
	}
	return cases, relay.Signal(syscall.SIGCONT)
}

// zoneCut cuts the last zone off. The limiters outside are measured from the publication, those inside from the heal.
func (f *Fleet) zoneCut(l lengths) ([]Case, error) {
	name := zones[len(zones)-1].name
	return f.cutOff("a zone cut", 1, l.settle, func(zone string) bool { return zone == name })
}

// regionCut cuts the region without the source off.
func (f *Fleet) regionCut(l lengths) ([]Case, error) {
	inside := map[string]bool{}
	for _, z := range zones {
		inside[z.name] = z.region != zones[0].region
	}
	return f.cutOff(
		fmt.Sprintf("a region cut for %v, %d changes", l.regionCut, l.regionChanges),
		l.regionChanges,
		l.regionCut,
		func(zone string) bool { return inside[zone] },
	)
}

// cutOff cuts zones off for a time, in which changes are published, and heals them.
func (f *Fleet) cutOff(name string, changes int, length time.Duration, inside func(string) bool) ([]Case, error) {
	if err := f.isolate(true, inside); err != nil {
		return nil, err
	}
	begun := time.Now()
	var all []publication
	for range changes {
		time.Sleep(length / time.Duration(changes+1))
		p, err := f.publish()
		if err != nil {
			return nil, err
		}
		all = append(all, p)
	}
	outside := f.measure(
		name+": outside, from publication",
		f.all(func(l hollowLimiter) bool { return !inside(l.zone.name) }),
		all...)
	time.Sleep(time.Until(begun.Add(length)))
	cut := f.all(func(l hollowLimiter) bool { return inside(l.zone.name) })
	early := 0
	for _, limiter := range cut {
		if _, is := f.ledger.since(limiter, all[0].version, all[0].at); is {
			early++
		}
	}
	healed := publication{f.head, time.Now()}
	if err := f.isolate(false, inside); err != nil {
		return nil, err
	}
	within := f.measure(fmt.Sprintf("%s: inside, from the heal (%d had it before)", name, early), cut, healed)
	return []Case{outside, within}, nil
}

// restart restarts every tenth limiter, and publishes a change once all of them have begun again with the state on
// their disks.
func (f *Fleet) restart(lengths) ([]Case, error) {
	begun := time.Now()
	var tenth []int
	for _, h := range f.hosts {
		var command restart
		for i, l := range h.limiters {
			if i%10 == 0 {
				command.Limiters = append(command.Limiters, l.Number)
			}
		}
		tenth = append(tenth, command.Limiters...)
		if err := h.tell(command); err != nil {
			return nil, err
		}
	}
	if !f.await(tenth, f.head, begun, caseEnd) {
		return nil, &StartError{
			What:  "a tenth of the limiters",
			Log:   "no state from the disk",
			Cause: os.ErrDeadlineExceeded,
		}
	}
	p, err := f.publish()
	if err != nil {
		return nil, err
	}
	all := f.measure("a tenth restarting from disk: all", f.all(anywhere), p)
	f.measureReal(&all, p)
	return []Case{all, f.measure("a tenth restarting from disk: that tenth", tenth, p)}, nil
}

// changes publishes many changes one after another.
func (f *Fleet) changes(l lengths) ([]Case, error) {
	begun := time.Now()
	var all []publication
	for i := range l.changes {
		time.Sleep(time.Until(begun.Add(time.Duration(i) * l.changesEvery)))
		p, err := f.publish()
		if err != nil {
			return nil, err
		}
		all = append(all, p)
	}
	name := fmt.Sprintf("%d changes in %v", l.changes, time.Duration(l.changes)*l.changesEvery)
	return []Case{f.measure(name, f.all(anywhere), all...)}, nil
}

// cold ends all relays and hosts and starts them together, without states on disks.
func (f *Fleet) cold(lengths) ([]Case, error) {
	for _, h := range f.hosts {
		h.kill()
	}
	for _, r := range f.relays {
		r.Kill()
	}
	begun := publication{f.head, time.Now()}
	for _, r := range f.relays {
		if err := f.startRelay(r); err != nil {
			return nil, err
		}
	}
	f.hosts = nil
	f.options.Dir += "-cold"
	if err := f.startHosts(); err != nil {
		return nil, err
	}
	return []Case{f.measure("relays and limiters started cold, from the start", f.all(anywhere), begun)}, nil
}

package limiter

import (
	"cmp"
	"errors"
	"fmt"
	"log"
	"net/http"
	"slices"

	"ospreycroft/choice"
	"ospreycroft/internal/coldstart"
	"ospreycroft/internal/discovery"
	"ospreycroft/internal/hint"
	"ospreycroft/internal/pollpacer"
)

var errTurned = errors.New("discovery has turned the call away")

// noteEvery is how far apart lines on a failing discovery are in the log, nanoseconds.
const noteEvery = 1e9

// watch is the connection to discovery.
type watch struct {
	l       *Limiter
	c       *conn
	version int64
	wholes  int64  // whole lists that were taken in
	fetched bool   // a list is held whose version discovery knows: what is newer is enough
	limit   *timer // until when the call that is out must be answered
	told    bool   // the connection has brought an answer
	again   *timer // when it is dialled next, while it waits for that
	pace    *pollpacer.Pacer
	last    pollpacer.Failure // how the latest call ended, where it brought no list
	checks  bool              // the process stood still: what there is has to be told at once
	half    bool              // an answer has begun
	noted   int64             // when a failure was last logged
	rests   bool              // no call is out on the connection: with a stated budget the next one goes out at its time
}

// known takes the list of the configuration, which may be old.
func (w *watch) known(text []byte) error {
	if len(text) == 0 || string(text) == "null" {
		return w.hold(nil)
	}
	list, err := discovery.DecodeList(text)
	var refused *discovery.ListRefusedError
	if errors.As(err, &refused) && refused.Key == "instances" && refused.Server == "" {
		return w.hold(nil) // no server is known yet, which ends no start: discovery is asked
	}
	if err != nil {
		return fmt.Errorf("known: %w", err)
	}
	return w.hold(list)
}

// hold begins with a list, nil for none.
func (w *watch) hold(list *discovery.List) error {
	counted := list != nil
	if w.l.start != nil {
		list, counted = w.l.start.recall(list)
	}
	if list != nil {
		list.Whole, w.fetched = true, counted // what is newer is enough: a whole list costs discovery as much as several watches
		w.apply(list, coldstart.ListRestored)
	}
	return nil
}

// next makes the next call when a stated budget allows it.
func (w *watch) next() {
	w.l.timers.drop(w.again)
	if at := w.l.start.rules.NextSlot(); at > w.l.now {
		w.again = w.l.at(at, w.turn)
		return
	}
	w.turn()
}

// turn: it is time for a call, or long past it.
func (w *watch) turn() {
	if w.l.start.rules.MissedSlot(w.l.now) {
		w.l.start.step(coldstart.Event{Kind: coldstart.SlotMissed})
		w.next()
		return
	}
	w.l.start.step(coldstart.Event{Kind: coldstart.CallMade})
	if w.rests {
		w.rests = false
		w.ask()
		return
	}
	w.dial()
}

func (w *watch) dial() {
	w.told, w.last = false, pollpacer.Failed
	w.c = w.l.dial(w, w.l.config.Discovery, w.pace.DialTimeout())
}

func (w *watch) up() { w.ask() }

// ask calls for the whole list first and then waits for what is newer.
func (w *watch) ask() {
	l := w.l
	var wait, limit int64
	if !l.start.budgeted() {
		wait, limit = w.pace.NextPoll(l.now, !w.fetched)
	} else {
		w.told, w.last = false, pollpacer.Failed // each call counts for itself
		if w.fetched {
			wait, _ = l.start.rules.HoldTime(l.now)
		}
		limit = l.start.rules.ResponseTimeout(l.now, wait)
	}
	l.start.asked()
	if w.checks && wait > 0 {
		wait, limit = 1e6, limit-wait
	}
	if w.fetched {
		l.scratch = discovery.AppendWatch(l.scratch[:0], l.config.Discovery, w.version, wait)
	} else {
		l.scratch = discovery.AppendFetch(l.scratch[:0], l.config.Discovery)
	}
	l.write(w.c, l.scratch)
	w.half = false
	w.until(l.now + limit)
}

// until gives the call that is out up at a time.
func (w *watch) until(at int64) {
	w.l.timers.drop(w.limit)
	w.limit = w.l.at(at, func() { w.l.over(w.c, NoResponse) })
}

// note logs a failure, if none was lately: an agent on the own machine is asked again many times a second.
func (w *watch) note(form string, args ...any) {
	if w.noted == 0 || w.l.now-w.noted >= noteEvery {
		w.noted = w.l.now
		log.Printf(form, args...)
	}
}

func (w *watch) read(b []byte) (int, error) {
	if w.rests && len(b) > 0 {
		return 0, errUnasked
	}
	a, n, err := discovery.ReadResponse(b)
	if err == nil && n == 0 && len(b) > 0 && !w.half {
		// The rest of an answer is right behind; one that stops there would hide its news for the whole wait.
		w.half = true
		w.until(min(w.limit.at, w.l.now+w.pace.PartialResponseTimeout()))
	}
	if err != nil { // asked at once again, it would be as bad
		w.note("event=list-refused %s", hint.LogFields(err))
		w.told, w.last = false, pollpacer.Failed
	}
	if err != nil || n == 0 || a.Status < 200 { // the answer itself comes behind a status of 1xx
		return n, err
	}
	if err = w.news(a); err != nil {
		return 0, err
	}
	if a.CloseAfter {
		w.l.over(w.c, IdleClosed)
	} else if w.l.start.budgeted() {
		w.l.timers.drop(w.limit)
		w.rests = true
		w.next()
	} else {
		w.ask()
	}
	return n, nil
}

// news takes a whole answer: a list, or word that there is none.
func (w *watch) news(a discovery.Response) (err error) {
	if w.told = true; a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests {
		w.note("event=list-turned-away status=%d %s", a.Status, hint.LogFields(a.Err()))
		w.told, w.last = false, pollpacer.Throttled // what is held stays, and what is newer than that is asked for again
		return errTurned
	}
	var list *discovery.List
	if err = a.Err(); err == nil {
		list, err = discovery.DecodeList(a.Body)
	}
	if err != nil {
		// The last good list stays. Asked at once again, it would be as bad.
		w.note("event=list-refused %s", hint.LogFields(err))
		w.fetched, w.told, w.last = false, false, pollpacer.Failed
		return err
	}
	w.pace.ResponseReceived(w.l.now)
	// One that counts from anew behind the same address may hold what was never told here.
	w.fetched = list.Whole || list.Version >= w.version
	w.apply(list, coldstart.ListReceived)
	if w.checks {
		w.checks = false
		w.l.trust()
	}
	if w.l.start == nil {
		w.l.readyNow()
	}
	return nil
}

// ended renews the connection: at once where it has served, else when the pace allows it.
func (w *watch) ended(end CloseReason, _ int64) {
	w.l.timers.drop(w.limit)
	if w.rests {
		w.rests = false // its next call waits for its time already
		return
	}
	if end == PeerClosed && w.c.open { // an answer without a length is whole only now
		if a, n, err := discovery.ReadClosedResponse(w.c.in.Bytes()); err == nil && n > 0 {
			_ = w.news(a)
		}
	}
	if !w.told {
		w.l.start.failed(w.last)
	} else if end != IdleClosed {
		w.pace.ConnectionLost(w.l.now)
	}
	if w.l.start.budgeted() {
		w.next()
		return
	}
	if !w.told {
		w.again = w.l.at(w.l.now+w.pace.RetryDelay(w.l.now, w.last), w.dial)
		return
	}
	w.dial()
}

// anew asks at once what has changed. Before the first call of all there is nothing to ask anew.
func (w *watch) anew() {
	if w.c == nil {
		return
	}
	w.checks = true
	if w.l.conns[w.c.id] == w.c {
		w.told = true
		w.l.over(w.c, IdleClosed)
		return
	}
	w.l.timers.drop(w.again)
	w.dial()
}

// move goes to discovery's new address, which may count its lists otherwise: the whole of it is asked for there, and
// the last good one holds meanwhile.
func (w *watch) move() {
	w.fetched = false
	w.pace.ServiceMoved(w.l.now)
	if w.l.start != nil {
		w.l.start.step(coldstart.Event{Kind: coldstart.DiscoveryMoved})
	}
	if w.l.start.budgeted() {
		w.rests = false
		w.l.timers.drop(w.again)
	}
	if w.c != nil && w.l.conns[w.c.id] == w.c {
		w.told = true
		w.l.over(w.c, IdleClosed)
		return
	}
	// It waits for its turn at the old address. What the new one has to tell counts as told before that may be over.
	w.l.timers.drop(w.again)
	if w.l.start.budgeted() {
		w.next()
		return
	}
	w.dial()
}

// apply takes a list in: addresses for the pools, the rest for the module.
func (w *watch) apply(list *discovery.List, kind coldstart.Kind) {
	l := w.l
	w.version = list.Version
	entries := make([]choice.Endpoint, len(list.Entries))
	var retiring []*pool
	if list.Whole {
		w.wholes++
	}
	for i, e := range list.Entries {
		entries[i] = e.Endpoint
		p := l.pools[e.ID]
		if p == nil {
			p = l.meet(e.ID, max(len(list.Entries), len(l.pools)+1))
		}
		p.listed = w.wholes
		p.leaving, p.gone = e.State != choice.EndpointReady, e.State == choice.EndpointGone
		if p.leaving || e.Address != p.address {
			retiring = append(retiring, p)
		}
		if e.Address != "" {
			p.address = e.Address
		}
		p.place = place{e.Zone, e.Cell}
		p.retireBefore(e.StartedAt) // to the process before this one: where its machine vanished, nothing has said so
	}
	if list.Whole {
		retiring = append(l.missing(w.wholes), retiring...)
	}
	if len(entries) > 0 || list.Whole {
		log.Printf("event=list generation=%d whole=%v entries=%d", list.Version, list.Whole, len(entries))
		l.logic.UpdateEndpoints(l.now, list.Whole, entries)
	}
	// Only now, or the module would send what is taken back to the same server again.
	for _, p := range retiring {
		p.retire()
		p.prune()
	}
	if l.start != nil {
		l.start.list(kind, list)
	}
}

// meet makes the pool of a server that was not listed yet, one of so many.
func (l *Limiter) meet(id string, servers int) *pool {
	l.met++
	p := &pool{l: l, id: id, number: l.met, bucket: l.start.bucket(servers)}
	l.pools[id] = p
	return p
}

// missing are the servers that a whole list does not name, which are gone, in the order in which they were met.
func (l *Limiter) missing(whole int64) (missing []*pool) {
	for _, p := range l.pools {
		if p.listed != whole {
			p.leaving, p.gone = true, true
			missing = append(missing, p)
		}
	}
	slices.SortFunc(missing, func(a, b *pool) int { return cmp.Compare(a.number, b.number) })
	return missing
}

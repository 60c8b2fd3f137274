package limiter

import (
	"fmt"
	"log"
	"slices"

	"ospreycroft/choice"
	"ospreycroft/internal/discovery"
)

const (
	holds   = 4 // a watch waits for news for so many dial time-outs: one that is never answered hides all of them
	answers = 2 // and is given up, as is any call, if no answer comes for so many more
	retries = 4 // a failed connection is tried again after this part of the dial time-out
)

// watch is the connection to discovery.
type watch struct {
	l       *Limiter
	c       *conn
	version int64
	fetched bool   // discovery itself has told the list
	limit   *timer // until when the call that is out must be answered
	told    bool   // the connection has brought an answer
}

// known takes the list of the configuration, which may be old.
func (w *watch) known(text []byte) error {
	if len(text) == 0 || string(text) == "null" {
		return nil
	}
	list, err := discovery.Decode(text)
	if err != nil {
		return fmt.Errorf("known: %w", err)
	}
	list.Whole = true
	w.apply(list)
	return nil
}

func (w *watch) dial() {
	w.told = false
	w.c = w.l.dial(w, w.l.config.Discovery)
}

func (w *watch) up() { w.ask() }

// ask calls for the whole list first and then waits for what is newer.
func (w *watch) ask() {
	l, wait := w.l, int64(0)
	if w.fetched {
		wait = holds * l.set.DialTimeout
		l.scratch = discovery.AppendWatch(l.scratch[:0], l.config.Discovery, w.version, wait)
	} else {
		l.scratch = discovery.AppendFetch(l.scratch[:0], l.config.Discovery)
	}
	l.write(w.c, l.scratch)
	l.timers.drop(w.limit)
	w.limit = l.at(l.now+wait+answers*l.set.DialTimeout, func() { l.over(w.c, Silent) })
}

func (w *watch) read(b []byte) (int, error) {
	a, n, err := discovery.Read(b)
	if err != nil || n == 0 || a.Status < 200 { // the answer itself comes behind a status of 1xx
		return n, err
	}
	w.told = true
	var list *discovery.List
	if err = fmt.Errorf("status %d", a.Status); a.Status == 200 {
		list, err = discovery.Decode(a.Body)
	}
	if err != nil {
		// The last good list stays. Asked at once again, it would be as bad.
		log.Printf("event=list-refused error=%q", err)
		w.fetched, w.told = false, false
		return 0, err
	}
	w.fetched = true
	w.apply(list)
	w.l.readyNow()
	if a.Last {
		w.l.over(w.c, PeerClosed)
	} else {
		w.ask()
	}
	return n, nil
}

// ended renews the connection: at once where it has served, else after a while.
func (w *watch) ended(end End, _ int64) {
	w.l.timers.drop(w.limit)
	if w.told {
		w.dial()
		return
	}
	w.l.at(w.l.now+w.l.set.DialTimeout/retries, w.dial)
}

// move goes to discovery's new address, which may count its lists otherwise: the whole of it is asked for there, and
// the last good one holds meanwhile.
func (w *watch) move() {
	w.fetched = false
	if w.l.conns[w.c.id] == w.c { // else a new one is dialled before long
		w.told = true
		w.l.over(w.c, Unused)
	}
}

// apply takes a list in: addresses for the pools, the rest for the module.
func (w *watch) apply(list *discovery.List) {
	l := w.l
	w.version = list.Version
	entries := make([]choice.Entry, len(list.Entries))
	var retiring []*pool
	if list.Whole { // what it does not name is gone
		retiring = l.missing(list)
		for _, p := range retiring {
			p.leaving, p.gone = true, true
		}
	}
	for i, e := range list.Entries {
		entries[i] = e.Entry
		p := l.pools[e.ID]
		if p == nil {
			p = &pool{l: l, id: e.ID}
			l.pools[e.ID] = p
			l.servers = append(l.servers, p)
		}
		p.leaving, p.gone = e.Listing != choice.Ready, e.Listing == choice.Gone
		if p.leaving || e.Address != p.address {
			retiring = append(retiring, p)
		}
		if e.Address != "" {
			p.address = e.Address
		}
	}
	if len(entries) > 0 || list.Whole {
		log.Printf("event=list generation=%d whole=%v entries=%d", list.Version, list.Whole, len(entries))
		l.logic.Members(l.now, list.Whole, entries)
	}
	// Only now, or the module would send what is taken back to the same server again.
	for _, p := range retiring {
		p.retire()
		p.prune()
	}
}

// missing are the servers that a list does not name.
func (l *Limiter) missing(list *discovery.List) []*pool {
	named := map[string]bool{}
	for _, e := range list.Entries {
		named[e.ID] = true
	}
	return slices.DeleteFunc(slices.Clone(l.servers), func(p *pool) bool { return named[p.id] })
}

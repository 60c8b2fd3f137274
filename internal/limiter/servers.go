package limiter

import (
	"bytes"
	"errors"
	"log"
	"slices"
	"strconv"

	"ospreycroft/choice"
	"ospreycroft/internal/resp"
)

// pool holds the connections to one server.
type pool struct {
	l       *Limiter
	id      string
	address string
	idle    []*backend // the one used last at the end
}

// backend is one connection to a server, with at most one command out on it: one behind another would wait for the
// other's answer.
type backend struct {
	pool  *pool
	c     *conn
	shot  *shot
	probe *timer // until when the probe that is out must be answered, nil if none is
}

var errUnasked = errors.New("an answer that nobody asked for")

// backend takes the connection that was used last or opens one; nil if there is no descriptor for it.
func (p *pool) backend() *backend {
	l := p.l
	if n := len(p.idle); n > 0 {
		b := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return b
	}
	if l.backends >= l.config.Sockets/serverShare && !l.freeBackend() {
		return nil
	}
	l.backends++
	return &backend{pool: p}
}

// freeBackend closes the connection to a server that has been idle longest.
func (l *Limiter) freeBackend() bool {
	var oldest *conn
	for _, p := range l.servers {
		if len(p.idle) > 0 && (oldest == nil || p.idle[0].c.since < oldest.since) {
			oldest = p.idle[0].c
		}
	}
	if oldest != nil {
		l.over(oldest, Unused)
	}
	return oldest != nil
}

// use takes a connection for a command that begin puts on it: at once where it is open, else when it comes up.
// One that had ended already, which the sockets have yet to tell, took nothing of the command: the next one is
// tried, or the server would be blamed for closing an idle connection.
func (p *pool) use(begin func(b *backend)) bool {
	for {
		b := p.backend()
		if b == nil {
			return false
		}
		if b.c == nil {
			begin(b)
			b.c = p.l.dial(b, p.address)
			return true
		}
		if p.l.effects.Alive(b.c.id) {
			begin(b)
			b.up()
			return true
		}
		p.l.over(b.c, PeerClosed)
	}
}

func (p *pool) send(s *shot) {
	l := p.l
	begin := func(b *backend) {
		b.shot, s.backend = s, b
		s.limit = l.at(s.job.cutOff, func() { l.over(s.backend.c, TimeOver) })
	}
	if !p.use(begin) {
		l.endShot(s, NoRoom.outcome(false), 0)
	}
}

// Probe is a deed of the module: the server answers a command that does no work.
func (l *Limiter) Probe(server string) {
	begin := func(b *backend) {
		b.probe = l.at(l.now+l.set.DialTimeout, func() { l.over(b.c, TimeOver) })
	}
	if !l.pools[server].use(begin) {
		l.owed = append(l.owed, owed{probed: server, outcome: NoRoom.outcome(false)})
	}
}

func (b *backend) up() {
	l := b.pool.l
	if s := b.shot; s != nil && (s.job.state != Taken || l.now >= s.job.cutOff) {
		// The job has ended while its connection came up, and nothing may be sent for it any more.
		b.shot = nil
		l.endShot(s, TimeOver.outcome(false), 0)
	}
	if b.shot == nil && b.probe == nil {
		b.pool.idle = append(b.pool.idle, b)
		return
	}
	l.scratch = l.scratch[:0]
	if b.probe != nil {
		l.scratch = resp.AppendCommand(l.scratch, []byte("SELECT"), []byte("0"))
	} else {
		l.scratch = b.shot.job.command(l.scratch, l.now)
	}
	l.write(b.c, l.scratch)
	if b.shot != nil {
		b.shot.last = b.c.sent
	}
}

// read takes the answer to the command that is out.
func (b *backend) read(bytes []byte) (int, error) {
	if len(bytes) == 0 {
		return 0, nil
	}
	if b.shot == nil && b.probe == nil {
		return 0, errUnasked
	}
	v, n, err := resp.Read(bytes)
	if err != nil || n == 0 {
		return 0, err
	}
	l, s := b.pool.l, b.shot
	if b.probe != nil {
		l.timers.drop(b.probe)
		b.probe = nil
		l.owed = append(l.owed, owed{probed: b.pool.id, outcome: choice.Done})
	} else {
		outcome, value, units := judge(v)
		if outcome == choice.Done {
			l.move(s.job, Done, resp.AppendBulk(nil, value))
		}
		b.shot = nil
		l.endShot(s, outcome, units)
	}
	if l.conns[b.c.id] == b.c {
		b.pool.idle = append(b.pool.idle, b)
	}
	return n, nil
}

// judge tells what a server's answer means, its value and the true units where it gives them.
func judge(v resp.Value) (outcome choice.Outcome, value []byte, units float64) {
	switch {
	case v.Kind == '*' && len(v.List) > 0 && v.List[0].Kind == '$' && !v.List[0].Null:
		if len(v.List) > 1 {
			units = cost(v.List[1].Text)
		}
		return choice.Done, v.List[0].Text, units
	case v.Kind == '-' && (string(v.Text) == "BUSY" || bytes.HasPrefix(v.Text, []byte("BUSY "))):
		return choice.Full, nil, 0
	}
	return choice.Broke, nil, 0
}

// cost finds the true units among the figures on use.
func cost(figures []byte) float64 {
	for _, field := range bytes.Split(figures, []byte(",")) {
		if name, value, _ := bytes.Cut(field, []byte("=")); string(name) == "cost" {
			if x, err := strconv.ParseFloat(string(value), 64); err == nil && x > 0 {
				return x
			}
		}
	}
	return 0
}

func (b *backend) ended(end End, written int64) {
	l, s := b.pool.l, b.shot
	l.backends--
	if i := slices.Index(b.pool.idle, b); i >= 0 {
		b.pool.idle = slices.Delete(b.pool.idle, i, i+1)
	}
	if (s != nil || b.probe != nil) && end != Refused {
		// What is still idle may be as dead, where a machine has vanished and says nothing: a command on it might
		// have run for all we know, while one for which no connection comes up has not.
		b.pool.retireIdle()
	}
	if end == Garbled {
		log.Printf("event=server-garbled server=%s", b.pool.id)
	}
	if s != nil {
		b.shot = nil
		l.endShot(s, end.outcome(s.last > 0 && written >= s.last), 0)
	}
	if b.probe != nil {
		l.timers.drop(b.probe)
		b.probe = nil
		l.owed = append(l.owed, owed{probed: b.pool.id, outcome: end.outcome(written > 0)})
	}
}

// retire ends what is not in use of the connections to a server that drains or is gone. A shot whose connection is
// not up yet is taken back: by the time it is up the grace may be over.
func (p *pool) retire() {
	p.retireIdle()
	for _, c := range p.l.byID() {
		if b, is := c.party.(*backend); is && b.pool == p && !c.open {
			p.l.over(c, CalledOff)
		}
	}
}

func (p *pool) retireIdle() {
	for len(p.idle) > 0 {
		p.l.over(p.idle[0].c, Unused)
	}
}

// sweep closes what has been idle for long: a command that crosses with the server's closing counts as sent.
func (p *pool) sweep() {
	for len(p.idle) > 0 && p.l.now-p.idle[0].c.since > p.l.set.IdleClose/idleShare {
		p.l.over(p.idle[0].c, Unused)
	}
}

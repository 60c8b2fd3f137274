// Package limiter holds the whole state of one real limiter and the one reducer that changes it.
//
// Step takes what happened on the sockets, one event at a time and always on the same goroutine. It turns it
// into calls on the module (package choice), does what the module asks for, and asks for effects on the sockets.
// It decides nothing about requests: those decisions all stand in choice/choice.go.
package limiter

import (
	"container/heap"
	"container/list"
	"log"

	"ospreycroft/choice"
	"ospreycroft/internal/buffer"
	"ospreycroft/internal/pollpacer"
	"ospreycroft/internal/settings"
)

// ConnID names a connection.
type ConnID uint64

// Kind says what happened.
type Kind uint8

const (
	Accepted  Kind = iota // a client has connected
	Connected             // a connection that was dialled is up
	Readable              // bytes have come
	Ended                 // a connection has ended from the other side
	Due                   // the time of a wake has come
	Stopping              // the process is to end
	Renewed               // the configuration was replaced
)

// Event is what the sockets tell.
type Event struct {
	Kind Kind
	Conn ConnID
	Size int // bytes to read
	End  CloseReason
	// Config is the new configuration.
	Config *settings.Config
}

// Effects are what the reducer asks of the sockets.
type Effects interface {
	// Dial begins a connection; Connected or Ended follows.
	Dial(address string, timeout int64) ConnID
	// Read copies the bytes that the present event told of.
	Read(into []byte)
	Write(id ConnID, bytes []byte)
	// Alive tells whether a connection that is up has not ended, as far as the sockets know; of one that was dialled, also whether
	// all that has come on it was told.
	Alive(id ConnID) bool
	// PeerGone tells whether a client has ended its connection, also where no event has told of that yet.
	PeerGone(id ConnID) bool
	// Written tells how many bytes the kernel has taken.
	Written(id ConnID) int64
	// Close ends the connection, if it has not ended yet; no event follows. It tells how many bytes the
	// kernel had taken, which will not become more.
	Close(id ConnID) int64
	// CloseGracefully ends a client's connection unless bytes have come on it that no event has told of yet, and tells whether it did.
	// What was written arrives; what comes from then on is never read. It is broken off so long after, if the client does not end
	// it, but not while its machine lacks bytes, which may last up to the longest time.
	CloseGracefully(id ConnID, after, most int64) bool
	// HasBacklog tells whether some clients wait in the kernel to be let in.
	HasBacklog() bool
	// SetTimer asks for Due at a time; only the latest wish counts.
	SetTimer(at int64)
}

// peer is the other side of a connection.
type peer interface {
	up()
	// read takes from the bytes that have come and tells how many it has used up.
	read(bytes []byte) (used int, err error)
	ended(end CloseReason, written int64)
}

type conn struct {
	id    ConnID
	party peer
	open  bool
	in    buffer.Buffer
	sent  int64  // bytes that were written, whether the kernel has taken them or not
	since int64  // when it was last used
	limit *timer // until when it must come up
	size  int64  // its buffer's part of buffered
}

// Limiter is one real limiter. It is not safe for concurrent use.
type Limiter struct {
	config         *settings.Config
	set            *settings.Settings
	effects        Effects
	logic          *choice.Controller
	now            int64
	conns          map[ConnID]*conn
	requests       map[string]*request
	held           int64 // bytes of the commands in requests
	buffered       int64 // bytes of the connections' buffers
	pendingResults []pendingResult
	timers         timers
	order          int64
	pools          map[string]*pool
	met            int64     // servers that were ever listed
	backends       int       // connections to servers
	idle           list.List // those that are idle, the one used last at the end
	keep           int64     // how long a connection to a server may be idle and be used again
	clients        int
	// Clients' connections that have brought no request yet, the oldest first, and the others, the one used last at the end.
	newClients, usedClients list.List
	faulty                  faultyInput
	outcomes                outcomeCounts
	outcomesLogged          int64 // when it was last logged
	counted                 int64 // when seen was last logged
	counter                 counter
	watch                   watch
	start                   *start // nil where operators state nothing
	ready                   bool
	readyBy                 int64 // when it is ready at the latest, whatever the module wants
	stopping                int64 // until when clients still come once the end was asked for, 0 before
	wake                    wake
	settled                 bool  // what is owed to the counter was added before the end
	ended                   int64 // when a request last ended
	scratch                 []byte
	words                   [][]byte
}

// pendingResult is what the module is told once its present call is over.
type pendingResult struct {
	reply   choice.AttemptResult
	call    bool
	name    uint64
	outcome choice.Outcome
	total   float64
	probed  string
	left    string
}

const (
	clientShare   = 2   // one descriptor in so many is for clients
	clientRoom    = 4   // past one in so many, clients that are idle make room
	serverShare   = 4   // and one in so many for servers
	heldShare     = 8   // one byte of memory in so many may hold commands, as many parts of them, as many answers that wait
	sweeps        = 32  // looks at idle connections in the time after which a server closes them
	outcomesEvery = 3   // what became of requests is logged so many times in it
	crowdLooks    = 8   // looks at clients in a dial time-out while there are many
	settled       = 4   // a client that said nothing for this part of a dial time-out may be closed to make room
	mayClose      = 2e9 // a client's connection without an open request may be closed from then on
	idleShare     = 2   // an idle connection is closed after this part of that time
	lingers       = 500e6
	lastLook      = 200e6 // so long after that no byte of a client is on its way to us
	lateFrom      = 700e6 // what comes later than this after the word to stop is lost where SIGKILL finds it unanswered,
	killFrom      = 3e9   // which may be so long after that,
	killSpare     = 200e6 // less what it takes to answer
	readyIn       = 9e9   // nine in ten have to be ready within 10 s, less what it takes to start and to be asked
	holdFor       = lateFrom + killFrom - killSpare - lingers
	keepLess      = 4    // that is shortened by this part when one turns out to have ended unsaid,
	keepMore      = 16   // and lengthened by this part when one still serves near its end, and with each look
	rests         = 8    // ticks of the clock for which one has to be idle before its next command
	prompt        = 8    // an end within this part of a dial time-out is the answer to the command's first byte
	mostID        = 64   // bytes of a request's id
	mostPipeline  = 1024 // commands that may wait on one client's connection
)

// New makes a limiter from its configuration. It knows the servers that the configuration lists.
func New(now int64, config *settings.Config, effects Effects) (*Limiter, error) {
	return NewWithOptions(now, config, OperatorOptions{}, effects)
}

// NewWithOptions makes a limiter that starts by what operators state beside its configuration.
func NewWithOptions(now int64, config *settings.Config, stated OperatorOptions, effects Effects) (*Limiter, error) {
	l := &Limiter{config: config, set: config.Settings, effects: effects, now: now, conns: map[ConnID]*conn{},
		requests: map[string]*request{}, pools: map[string]*pool{}}
	l.counter.l, l.counter.heard, l.watch.l = l, now, l
	l.keep = l.set.IdleClose / idleShare
	l.watch.pace = pollpacer.New(now, l.set.DialTimeout, max(l.set.Position, 0), l.set.PollInterval)
	l.watch.pace.SetNotificationBound(l.set.DrainGrace)
	l.logic = choice.New(now, l.set.Settings, config.Seed, l)
	l.readyBy = now + readyIn
	if err := l.begin(stated); err != nil {
		return nil, err
	}
	if err := l.watch.known(config.Known); err != nil {
		return nil, err
	}
	if l.start.budgeted() {
		l.watch.next()
	} else if first := l.watch.pace.FirstDelay(); first > 0 && l.watch.fetched {
		l.watch.again = l.at(now+first, l.watch.dial)
	} else {
		l.watch.dial()
	}
	if l.set.CounterTimeout > 0 {
		l.counter.open()
	}
	if l.start == nil {
		l.at(now+l.watch.pace.DialTimeout(), l.readyNow) // half a second at most
	}
	l.sweep()
	l.visit()
	l.arm()
	return l, nil
}

// readyNow: discovery has said what it knows, or is down, and the list of the configuration must do. The module may
// want more time, until the latest: the parts of ceilings that have not filled by then are rejected for, not passed.
func (l *Limiter) readyNow() {
	if at := min(l.logic.ReadyAt(), l.readyBy); l.now < at {
		l.at(at, l.readyNow)
	} else if !l.ready {
		l.ready = true
		log.Printf("event=ready servers=%d generation=%d", len(l.pools), l.watch.version)
	}
}

// Step takes one event.
func (l *Limiter) Step(now int64, e Event) {
	l.looked(now)
	c := l.conns[e.Conn]
	switch {
	case e.Kind == Accepted:
		l.accept(e.Conn)
	case e.Kind == Due && now < l.wake.blind:
	case e.Kind == Due:
		for len(l.timers) > 0 && l.timers[0].at <= now {
			heap.Pop(&l.timers).(*timer).run()
			l.tell()
		}
	case e.Kind == Stopping:
		l.stop()
	case e.Kind == Renewed:
		l.renew(e.Config)
	case c == nil: // it has ended already
	case e.Kind == Connected:
		c.open, c.since = true, now
		l.timers.drop(c.limit)
		c.party.up()
		l.consume(c)
	case e.Kind == Readable:
		l.effects.Read(c.in.Space(e.Size))
		if c.in.Filled(e.Size); c.open { // bytes may come before the word that the connection is up
			l.consume(c)
		}
	case e.Kind == Ended:
		l.over(c, e.End)
	}
	l.tell()
	l.close()
	l.arm()
}

// close lets the module add what it owes to the counter, once the process is to end and nothing is out; again if a request came
// after all.
func (l *Limiter) close() {
	if l.stopping != 0 && l.now >= l.stopping && len(l.requests) == 0 && !l.settled {
		l.settled = true
		l.logic.ShutDown(l.now)
		l.tell()
	}
}

// consume lets the other side's bytes be used as far as they are whole.
func (l *Limiter) consume(c *conn) {
	c.since = l.now
	for l.conns[c.id] == c {
		used, err := c.party.read(c.in.Bytes())
		if err != nil && l.conns[c.id] == c {
			l.over(c, ProtocolError)
		}
		if err != nil || used == 0 {
			break
		}
		c.in.Use(used)
	}
	if l.conns[c.id] == c {
		l.buffered += int64(c.in.Size()) - c.size
		c.size = int64(c.in.Size())
		if cl, is := c.party.(*client); is && cl.closing {
			cl.leave()
		}
	}
}

// tell tells the module what it is owed, in order; each call on it may bring more.
func (l *Limiter) tell() {
	for i := 0; i < len(l.pendingResults); i++ {
		switch o := l.pendingResults[i]; {
		case o.call:
			l.logic.CounterReplied(l.now, o.name, o.outcome, o.total)
		case o.probed != "":
			l.logic.HealthCheckDone(l.now, o.probed, o.outcome)
		case o.left != "":
			l.logic.ClientDisconnected(l.now, o.left)
		default:
			l.logic.AttemptDone(l.now, o.reply)
		}
	}
	l.pendingResults = l.pendingResults[:0]
}

// dial begins a connection for a party, which is told when it is up or has ended. It ends in time even where the
// sockets say nothing.
func (l *Limiter) dial(p peer, address string, timeout int64) *conn {
	c := &conn{id: l.effects.Dial(address, timeout), party: p, since: l.now}
	l.conns[c.id] = c
	c.limit = l.at(l.now+timeout, func() { l.over(c, DialTimedOut) })
	return c
}

func (l *Limiter) write(c *conn, bytes []byte) {
	c.sent += int64(len(bytes))
	c.since = l.now
	l.effects.Write(c.id, bytes)
}

// over is the only place where a connection ends.
func (l *Limiter) over(c *conn, end CloseReason) {
	delete(l.conns, c.id)
	l.buffered -= c.size
	l.timers.drop(c.limit)
	c.party.ended(end, l.effects.Close(c.id))
}

// sweep closes connections that have been idle, before the other side does.
func (l *Limiter) sweep() {
	l.closeIdle()
	l.counter.sweep()
	if l.start != nil {
		l.start.tick()
	}
	l.keep = min(l.keep+l.keep/keepMore, l.set.IdleClose/idleShare)
	if l.faulty != (faultyInput{}) && l.now-l.counted >= l.set.IdleClose {
		log.Printf("event=turned-away malformed=%d faulty=%d silent=%d unread=%d garbled=%d spoilt=%d", l.faulty.malformed,
			l.faulty.faulty, l.faulty.silent, l.faulty.unread, l.faulty.garbled, l.faulty.spoilt)
		l.faulty, l.counted = faultyInput{}, l.now
	}
	if l.now-l.outcomesLogged >= l.set.IdleClose/outcomesEvery {
		l.LogOutcomes()
		l.outcomesLogged = l.now
	}
	l.at(l.now+l.set.IdleClose/sweeps, l.sweep)
}

// faultyInput counts what is logged at intervals: a line for each would let whoever sends nonsense fill the log.
type faultyInput struct {
	malformed int // clients' bytes that are no command
	faulty    int // commands that can never be right
	silent    int // clients that said nothing, or half a command
	unread    int // clients that did not read their answers
	garbled   int // servers' answers that are none
	spoilt    int // the same of the counter
}

// SetTimer is an effect of the module.
func (l *Limiter) SetTimer(at, token int64) {
	l.at(at, func() { l.logic.TimerFired(l.now, token) })
}

// Log is an effect of the module.
func (l *Limiter) Log(text string) { log.Printf("event=decision text=%q", text) }

type timer struct {
	at, order int64
	run       func()
	place     int // in the heap, -1 once it is out of it
}

type timers []*timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].order < t[j].order
}
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].place, t[j].place = i, j
}
func (t *timers) Push(x any) {
	x.(*timer).place = len(*t)
	*t = append(*t, x.(*timer))
}
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	x.place = -1
	return x
}

func (l *Limiter) at(at int64, run func()) *timer {
	l.order++
	t := &timer{at: at, order: l.order, run: run}
	heap.Push(&l.timers, t)
	return t
}

// drop takes a timer back that nothing waits for any more: each that runs wakes the process.
func (t *timers) drop(x *timer) {
	if x != nil && x.place >= 0 {
		heap.Remove(t, x.place)
	}
}

func (l *Limiter) arm() { l.effects.SetTimer(max(l.timers[0].at, l.wake.blind)) }

// renew goes on by a configuration that has replaced the present one under load. Discovery and the counter may move;
// what else differs holds from the next start on, each key with a line. A counter that the settings still have stays where
// it is when none is named any more.
func (l *Limiter) renew(config *settings.Config) {
	for _, key := range l.config.NeedRestart(config) {
		log.Printf("event=config-kept key=%q", key)
	}
	moved := *l.config
	if moved.Discovery = config.Discovery; l.set.CounterTimeout > 0 && config.Counter != "" {
		moved.Counter = config.Counter
	}
	discovery, counter := moved.Discovery != l.config.Discovery, moved.Counter != l.config.Counter
	l.config = &moved
	log.Printf("event=config-read discovery=%s counter=%s", moved.Discovery, moved.Counter)
	if discovery {
		l.watch.move()
	}
	if counter {
		l.counter.move()
	}
}

// stop begins the end: clients still come for a while, and what was taken is answered.
func (l *Limiter) stop() {
	if l.stopping != 0 {
		return
	}
	l.stopping = l.now + lingers
	log.Printf("event=stopping requests=%d clients=%d", len(l.requests), l.clients)
	l.at(l.stopping, func() {
		for _, c := range l.byID() {
			if cl, is := c.party.(*client); is {
				cl.leave()
			}
		}
	})
	l.at(l.stopping+lastLook, func() {}) // wakes, to see whether it has finished
	l.at(l.stopping+holdFor+1, func() {})
}

// leaves: what the process takes now it may not be able to answer. A request that came late is lost if the process is
// killed first.
func (l *Limiter) leaves(budget int64) bool {
	since := l.now - (l.stopping - lingers)
	return l.stopping != 0 && since > lateFrom && since+budget > lateFrom+killFrom-killSpare
}

// Finished tells whether nothing is left to do after Stopping.
func (l *Limiter) Finished() bool {
	// An attempt that is out may still tell the true units, if its client has gone as well; it ends by its deadline.
	if l.stopping == 0 || l.now < l.stopping+lastLook || !l.settled || l.counter.waits() {
		return false
	}
	return l.Overdue() || l.clients == 0 && !l.effects.HasBacklog()
}

// Overdue tells whether SIGKILL may come soon: no client can hold the process any longer. All that was taken is answered by then, and
// who has an answer to read has had time to. A process that stood still first reads what has come meanwhile.
func (l *Limiter) Overdue() bool {
	return l.stopping != 0 && l.now > max(l.stopping+holdFor, l.ended+killSpare, l.wake.blind)
}

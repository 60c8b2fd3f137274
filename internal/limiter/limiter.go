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

// connHandler is the other side of a connection.
type connHandler interface {
	onConnected()
	// onData takes from the bytes that have come and tells how many it has used up.
	onData(bytes []byte) (used int, err error)
	onClosed(end CloseReason, written int64)
}

type conn struct {
	id           ConnID
	handler      connHandler
	open         bool
	input        buffer.Buffer
	bytesSent    int64  // bytes that were written, whether the kernel has taken them or not
	lastUsed     int64  // when it was last used
	dialTimer    *timer // until when it must come up
	countedBytes int64  // its buffer's part of buffered
}

// Limiter is one real limiter. It is not safe for concurrent use.
type Limiter struct {
	config         *settings.Config
	settings       *settings.Settings
	effects        Effects
	controller     *choice.Controller
	now            int64
	conns          map[ConnID]*conn
	requests       map[string]*request
	heldBytes      int64 // bytes of the commands in requests
	bufferedBytes  int64 // bytes of the connections' buffers
	pendingResults []pendingResult
	timers         timers
	timersMade     int64
	pools          map[string]*serverPool
	poolsSeen      int64     // servers that were ever listed
	serverConns    int       // connections to servers
	idleConns      list.List // those that are idle, the one used last at the end
	keepIdle       int64     // how long a connection to a server may be idle and be used again
	clientCount    int
	// Clients' connections that have brought no request yet, the oldest first, and the others, the one used last at the end.
	newClients, usedClients list.List
	rejectedInput           inputErrors
	outcomes                outcomeCounts
	outcomesLogged          int64 // when it was last logged
	rejectedInputLogged     int64 // when seen was last logged
	counter                 counterClient
	discovery               discoveryClient
	coldStart               *coldStart // nil where operators state nothing
	ready                   bool
	readyBy                 int64 // when it is ready at the latest, whatever the module wants
	lingerUntil             int64 // until when clients still come once the end was asked for, 0 before
	suspension              suspension
	flushed                 bool  // what is owed to the counter was added before the end
	lastRequestEnd          int64 // when a request last ended
	writeBuffer             []byte
	wordBuffer              [][]byte
}

// pendingResult is what the module is told once its present call is over.
type pendingResult struct {
	attempt       choice.AttemptResult
	counterReply  bool
	name          uint64
	outcome       choice.Outcome
	total         float64
	healthChecked string
	disconnected  string
}

const (
	clientDescriptorShare    = 2   // one descriptor in so many is for clients
	clientLimitShare         = 4   // past one in so many, clients that are idle make room
	serverDescriptorShare    = 4   // and one in so many for servers
	memoryShare              = 8   // one byte of memory in so many may hold commands, as many parts of them, as many answers that wait
	maintenancesPerIdleClose = 32  // looks at idle connections in the time after which a server closes them
	outcomeLogsPerIdleClose  = 3   // what became of requests is logged so many times in it
	reapsNearLimit           = 8   // looks at clients in a dial time-out while there are many
	newClientGraceShare      = 4   // a client that said nothing for this part of a dial time-out may be closed to make room
	minClientIdle            = 2e9 // a client's connection without an open request may be closed from then on
	idleCloseShare           = 2   // an idle connection is closed after this part of that time
	shutdownLinger           = 500e6
	finalReadDelay           = 200e6 // so long after that no byte of a client is on its way to us
	lateRequestFrom          = 700e6 // what comes later than this after the word to stop is lost where SIGKILL finds it unanswered,
	killAfterLate            = 3e9   // which may be so long after that,
	killMargin               = 200e6 // less what it takes to answer
	readyWithin              = 9e9   // nine in ten have to be ready within 10 s, less what it takes to start and to be asked
	clientHoldTime           = lateRequestFrom + killAfterLate - killMargin - shutdownLinger
	keepIdleDecrease         = 4    // that is shortened by this part when one turns out to have ended unsaid,
	keepIdleIncrease         = 16   // and lengthened by this part when one still serves near its end, and with each look
	restTicks                = 8    // ticks of the clock for which one has to be idle before its next command
	promptCloseShare         = 8    // an end within this part of a dial time-out is the answer to the command's first byte
	maxIDBytes               = 64   // bytes of a request's id
	maxPipelined             = 1024 // commands that may wait on one client's connection
)

// New makes a limiter from its configuration. It knows the servers that the configuration lists.
func New(now int64, config *settings.Config, effects Effects) (*Limiter, error) {
	return NewWithOptions(now, config, OperatorOptions{}, effects)
}

// NewWithOptions makes a limiter that starts by what operators state beside its configuration.
func NewWithOptions(now int64, config *settings.Config, stated OperatorOptions, effects Effects) (*Limiter, error) {
	l := &Limiter{config: config, settings: config.Settings, effects: effects, now: now, conns: map[ConnID]*conn{},
		requests: map[string]*request{}, pools: map[string]*serverPool{}}
	l.counter.l, l.counter.lastReply, l.discovery.l = l, now, l
	l.keepIdle = l.settings.IdleClose / idleCloseShare
	l.discovery.pacer = pollpacer.New(now, l.settings.DialTimeout, max(l.settings.Position, 0), l.settings.PollInterval)
	l.discovery.pacer.SetNotificationBound(l.settings.DrainGrace)
	l.controller = choice.New(now, l.settings.Settings, config.Seed, l)
	l.readyBy = now + readyWithin
	if err := l.startCold(stated); err != nil {
		return nil, err
	}
	if err := l.discovery.restore(config.Known); err != nil {
		return nil, err
	}
	if l.coldStart.hasCallRate() {
		l.discovery.scheduleSlot()
	} else if first := l.discovery.pacer.FirstDelay(); first > 0 && l.discovery.versionKnown {
		l.discovery.retryTimer = l.schedule(now+first, l.discovery.connect)
	} else {
		l.discovery.connect()
	}
	if l.settings.CounterTimeout > 0 {
		l.counter.connect()
	}
	if l.coldStart == nil {
		l.schedule(now+l.discovery.pacer.DialTimeout(), l.checkReady) // half a second at most
	}
	l.maintain()
	l.reapClients()
	l.armTimer()
	return l, nil
}

// checkReady: discovery has said what it knows, or is down, and the list of the configuration must do. The module may
// want more time, until the latest: the parts of ceilings that have not filled by then are rejected for, not passed.
func (l *Limiter) checkReady() {
	if at := min(l.controller.ReadyAt(), l.readyBy); l.now < at {
		l.schedule(at, l.checkReady)
	} else if !l.ready {
		l.ready = true
		log.Printf("event=ready servers=%d generation=%d", len(l.pools), l.discovery.version)
	}
}

// Step takes one event.
func (l *Limiter) Step(now int64, event Event) {
	l.observeClock(now)
	switch e := event.(type) {
	case ClientAccepted:
		l.accept(e.Conn)
	case Connected:
		l.connected(e.Conn)
	case DataReceived:
		l.dataReceived(e.Conn, e.Size)
	case ConnClosed:
		if c := l.conns[e.Conn]; c != nil {
			l.closeConn(c, e.Reason)
		}
	case TimersDue:
		l.runTimers()
	case ShutdownRequested:
		l.startShutdown()
	case ConfigReloaded:
		l.reload(e.Config)
	}
	l.deliverResults()
	l.flushIfDone()
	l.armTimer()
}

// runTimers runs the timers that are due, unless the process has just stood still: what has come meanwhile is read first.
func (l *Limiter) runTimers() {
	if l.now < l.suspension.timersBlockedUntil {
		return
	}
	for len(l.timers) > 0 && l.timers[0].at <= l.now {
		heap.Pop(&l.timers).(*timer).run()
		l.deliverResults()
	}
}

// connected takes word that a connection that was dialled is up, unless it has ended already.
func (l *Limiter) connected(id ConnID) {
	c := l.conns[id]
	if c == nil {
		return
	}
	c.open = true
	c.lastUsed = l.now
	l.timers.cancel(c.dialTimer)
	c.handler.onConnected()
	l.consume(c)
}

// dataReceived reads what has come on a connection. Bytes may come before the word that the connection is up.
func (l *Limiter) dataReceived(id ConnID, size int) {
	c := l.conns[id]
	if c == nil {
		return
	}
	l.effects.Read(c.input.Space(size))
	c.input.Filled(size)
	if c.open {
		l.consume(c)
	}
}

// flushIfDone lets the module add what it owes to the counter, once the process is to end and nothing is out; again if a request came
// after all.
func (l *Limiter) flushIfDone() {
	if l.lingerUntil != 0 && l.now >= l.lingerUntil && len(l.requests) == 0 && !l.flushed {
		l.flushed = true
		l.controller.ShutDown(l.now)
		l.deliverResults()
	}
}

// consume lets the other side's bytes be used as far as they are whole.
func (l *Limiter) consume(c *conn) {
	c.lastUsed = l.now
	for l.conns[c.id] == c {
		used, err := c.handler.onData(c.input.Bytes())
		if err != nil && l.conns[c.id] == c {
			l.closeConn(c, ProtocolError)
		}
		if err != nil || used == 0 {
			break
		}
		c.input.Use(used)
	}
	if l.conns[c.id] == c {
		l.bufferedBytes += int64(c.input.Size()) - c.countedBytes
		c.countedBytes = int64(c.input.Size())
		if cl, is := c.handler.(*client); is && cl.closing {
			cl.closeWhenAnswered()
		}
	}
}

// deliverResults tells the module what it is owed, in order; each call on it may bring more.
func (l *Limiter) deliverResults() {
	for i := 0; i < len(l.pendingResults); i++ {
		switch o := l.pendingResults[i]; {
		case o.counterReply:
			l.controller.CounterReplied(l.now, o.name, o.outcome, o.total)
		case o.healthChecked != "":
			l.controller.HealthCheckDone(l.now, o.healthChecked, o.outcome)
		case o.disconnected != "":
			l.controller.ClientDisconnected(l.now, o.disconnected)
		default:
			l.controller.AttemptDone(l.now, o.attempt)
		}
	}
	l.pendingResults = l.pendingResults[:0]
}

// dial begins a connection for a party, which is told when it is up or has ended. It ends in time even where the
// sockets say nothing.
func (l *Limiter) dial(p connHandler, address string, timeout int64) *conn {
	c := &conn{id: l.effects.Dial(address, timeout), handler: p, lastUsed: l.now}
	l.conns[c.id] = c
	c.dialTimer = l.schedule(l.now+timeout, func() { l.closeConn(c, DialTimedOut) })
	return c
}

func (l *Limiter) write(c *conn, bytes []byte) {
	c.bytesSent += int64(len(bytes))
	c.lastUsed = l.now
	l.effects.Write(c.id, bytes)
}

// closeConn is the only place where a connection ends.
func (l *Limiter) closeConn(c *conn, end CloseReason) {
	delete(l.conns, c.id)
	l.bufferedBytes -= c.countedBytes
	l.timers.cancel(c.dialTimer)
	c.handler.onClosed(end, l.effects.Close(c.id))
}

// maintain closes connections that have been idle, before the other side does.
func (l *Limiter) maintain() {
	l.closeExpiredIdle()
	l.counter.maintain()
	if l.coldStart != nil {
		l.coldStart.timePassed()
	}
	l.keepIdle = min(l.keepIdle+l.keepIdle/keepIdleIncrease, l.settings.IdleClose/idleCloseShare)
	if l.rejectedInput != (inputErrors{}) && l.now-l.rejectedInputLogged >= l.settings.IdleClose {
		log.Printf("event=turned-away malformed=%d faulty=%d silent=%d unread=%d garbled=%d spoilt=%d", l.rejectedInput.malformedCommands,
			l.rejectedInput.invalidCommands, l.rejectedInput.silentClients, l.rejectedInput.slowReaders, l.rejectedInput.malformedAnswers, l.rejectedInput.malformedCounterReplies)
		l.rejectedInput, l.rejectedInputLogged = inputErrors{}, l.now
	}
	if l.now-l.outcomesLogged >= l.settings.IdleClose/outcomeLogsPerIdleClose {
		l.LogOutcomes()
		l.outcomesLogged = l.now
	}
	l.schedule(l.now+l.settings.IdleClose/maintenancesPerIdleClose, l.maintain)
}

// inputErrors counts what is logged at intervals: a line for each would let whoever sends nonsense fill the log.
type inputErrors struct {
	malformedCommands       int // clients' bytes that are no command
	invalidCommands         int // commands that can never be right
	silentClients           int // clients that said nothing, or half a command
	slowReaders             int // clients that did not read their answers
	malformedAnswers        int // servers' answers that are none
	malformedCounterReplies int // the same of the counter
}

// SetTimer is an effect of the module.
func (l *Limiter) SetTimer(at, token int64) {
	l.schedule(at, func() { l.controller.TimerFired(l.now, token) })
}

// Log is an effect of the module.
func (l *Limiter) Log(text string) { log.Printf("event=decision text=%q", text) }

type timer struct {
	at, order int64
	run       func()
	index     int // in the heap, -1 once it is out of it
}

type timers []*timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].order < t[j].order
}
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}
func (t *timers) Push(x any) {
	x.(*timer).index = len(*t)
	*t = append(*t, x.(*timer))
}
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	x.index = -1
	return x
}

func (l *Limiter) schedule(at int64, run func()) *timer {
	l.timersMade++
	t := &timer{at: at, order: l.timersMade, run: run}
	heap.Push(&l.timers, t)
	return t
}

// cancel takes a timer back that nothing waits for any more: each that runs wakes the process.
func (t *timers) cancel(x *timer) {
	if x != nil && x.index >= 0 {
		heap.Remove(t, x.index)
	}
}

func (l *Limiter) armTimer() {
	l.effects.SetTimer(max(l.timers[0].at, l.suspension.timersBlockedUntil))
}

// reload goes on by a configuration that has replaced the present one under load. Discovery and the counter may move;
// what else differs holds from the next start on, each key with a line. A counter that the settings still have stays where
// it is when none is named any more.
func (l *Limiter) reload(config *settings.Config) {
	for _, key := range l.config.NeedRestart(config) {
		log.Printf("event=config-kept key=%q", key)
	}
	moved := *l.config
	if moved.Discovery = config.Discovery; l.settings.CounterTimeout > 0 && config.Counter != "" {
		moved.Counter = config.Counter
	}
	discovery, counter := moved.Discovery != l.config.Discovery, moved.Counter != l.config.Counter
	l.config = &moved
	log.Printf("event=config-read discovery=%s counter=%s", moved.Discovery, moved.Counter)
	if discovery {
		l.discovery.followMove()
	}
	if counter {
		l.counter.followMove()
	}
}

// startShutdown begins the end: clients still come for a while, and what was taken is answered.
func (l *Limiter) startShutdown() {
	if l.lingerUntil != 0 {
		return
	}
	l.lingerUntil = l.now + shutdownLinger
	log.Printf("event=stopping requests=%d clients=%d", len(l.requests), l.clientCount)
	l.schedule(l.lingerUntil, func() {
		for _, c := range l.connsInOrder() {
			if cl, is := c.handler.(*client); is {
				cl.closeWhenAnswered()
			}
		}
	})
	l.schedule(l.lingerUntil+finalReadDelay, func() {}) // wakes, to see whether it has finished
	l.schedule(l.lingerUntil+clientHoldTime+1, func() {})
}

// outlivesShutdown: what the process takes now it may not be able to answer. A request that came late is lost if the process is
// killed first.
func (l *Limiter) outlivesShutdown(budget int64) bool {
	since := l.now - (l.lingerUntil - shutdownLinger)
	return l.lingerUntil != 0 && since > lateRequestFrom && since+budget > lateRequestFrom+killAfterLate-killMargin
}

// Finished tells whether nothing is left to do after Stopping.
func (l *Limiter) Finished() bool {
	// An attempt that is out may still tell the true units, if its client has gone as well; it ends by its deadline.
	if l.lingerUntil == 0 || l.now < l.lingerUntil+finalReadDelay || !l.flushed || l.counter.hasPendingCalls() {
		return false
	}
	return l.Overdue() || l.clientCount == 0 && !l.effects.HasBacklog()
}

// Overdue tells whether SIGKILL may come soon: no client can hold the process any longer. All that was taken is answered by then, and
// who has an answer to read has had time to. A process that stood still first reads what has come meanwhile.
func (l *Limiter) Overdue() bool {
	return l.lingerUntil != 0 && l.now > max(l.lingerUntil+clientHoldTime, l.lastRequestEnd+killMargin, l.suspension.timersBlockedUntil)
}

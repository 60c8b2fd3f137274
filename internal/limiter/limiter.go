// Package limiter is one limiter without its sockets: it holds all state of the process and is the one reducer that
// changes it.
//
// Step takes an Event (events.go), one at a time and always on the same goroutine. It turns events into calls on the
// admission controller (package choice), does what the controller asks for, and asks for effects on the sockets
// (Effects). It decides nothing about requests. Package sockets calls it in the process, the lab's simfleet in memory.
//
// The state is divided among parts: clients (clients.go, client.go), requests and attempts, server pools, the counter
// client, the discovery client with the endpoint list, the cold start, timers, and what a suspension of the process
// and its shutdown need.
package limiter

import (
	"log/slog"

	"ospreycroft/choice"
	"ospreycroft/internal/settings"
)

// Limiter is one real limiter. Each part of its state has an owner of its own; the parts call each other, and the
// controller, through their methods. It is not safe for concurrent use.
type Limiter struct {
	config     *settings.Config
	settings   *settings.Settings
	effects    Effects
	controller *choice.Controller
	now        int64 // of the event that is taken, nanoseconds

	timers        timerQueue
	conns         map[ConnID]*conn // all that have not ended, of clients, servers, the counter and discovery
	bufferedBytes int64            // bytes of the connections' input buffers
	results       []pendingResult

	clients    clientTable
	requests   requestTable
	servers    serverPools
	counter    counterClient
	discovery  discoveryClient
	coldStart  *coldStart // nil where operators state nothing
	readiness  readiness
	suspension suspension
	shutdown   shutdown
	stats      statistics
	trace      trace
	scratch    scratch
}

// scratch holds buffers that are used again and again.
type scratch struct {
	write []byte   // what is written next
	words [][]byte // the words of the command that is read
}

// pendingResult is what the controller is told once its present call is over.
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
	// bufferMemoryDivisor: one byte of memory in so many may hold commands of requests, as many input buffers, as many answers
	// that wait.
	bufferMemoryDivisor = 8
	// maintenancesPerIdleClose is how often idle connections are looked at in the time after which a server closes
	// them.
	maintenancesPerIdleClose = 32
)

// New makes a limiter from its configuration. It knows the servers that the configuration lists.
func New(now int64, config *settings.Config, effects Effects) (*Limiter, error) {
	return NewWithOptions(now, config, OperatorOptions{}, effects)
}

// NewWithOptions makes a limiter that starts by what operators state beside its configuration.
func NewWithOptions(now int64, config *settings.Config, options OperatorOptions, effects Effects) (*Limiter, error) {
	l := &Limiter{config: config, settings: config.Settings, effects: effects, now: now, conns: map[ConnID]*conn{}}
	l.clients.limiter = l
	l.requests.byID = map[string]*request{}
	l.servers = serverPools{
		limiter:      l,
		pools:        map[string]*serverPool{},
		maxReuseIdle: l.settings.IdleClose / idleCloseDivisor,
	}
	l.counter = counterClient{limiter: l, lastReply: now}
	l.discovery = newDiscoveryClient(l)
	l.controller = choice.New(now, l.settings.Settings, config.Seed, l)
	l.readiness.deadline = now + maxReadyDelay
	if err := l.initColdStart(options); err != nil {
		return nil, err
	}
	if err := l.discovery.restore(config.Known); err != nil {
		return nil, err
	}
	l.discovery.start()
	if l.settings.CounterTimeout > 0 {
		l.counter.connect()
	}
	if l.coldStart == nil {
		l.schedule(now+l.discovery.pacer.DialTimeout(), l.checkReady) // half a second at most
	}
	l.maintain()
	l.clients.reap()
	l.armTimer()
	return l, nil
}

// Step takes one event.
func (l *Limiter) Step(now int64, event Event) {
	l.observeClock(now)
	switch e := event.(type) {
	case ClientAccepted:
		l.clients.accept(e.Conn)
	case Connected:
		l.connected(e.Conn)
	case DataReceived:
		l.dataReceived(e)
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

// deliverResults tells the controller what it is owed, in order; each call on it may bring more. Requests that are done
// are forgotten behind the last.
func (l *Limiter) deliverResults() {
	for i := 0; i < len(l.results); i++ {
		switch result := l.results[i]; {
		case result.counterReply:
			l.controller.CounterReplied(l.now, result.name, result.outcome, result.total)
		case result.healthChecked != "":
			l.controller.HealthCheckDone(l.now, result.healthChecked, result.outcome)
		case result.disconnected != "":
			l.controller.ClientDisconnected(l.now, result.disconnected)
		default:
			l.controller.AttemptDone(l.now, result.attempt)
		}
	}
	l.results = l.results[:0]
	l.requests.forgetDone()
}

// maintain looks, at regular times, after idle connections, the cold start and the counts for the log.
func (l *Limiter) maintain() {
	l.servers.closeExpiredIdle()
	l.counter.maintain()
	if l.coldStart != nil {
		l.coldStart.timePassed()
	}
	l.servers.lengthenReuseIdle()
	l.logStatistics()
	l.schedule(l.now+l.settings.IdleClose/maintenancesPerIdleClose, l.maintain)
}

// Log is an effect of the controller.
func (l *Limiter) Log(text string) { slog.Info("decision", "text", text) }

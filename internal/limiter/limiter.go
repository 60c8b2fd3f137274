// Package limiter is one limiter without its sockets: the reducer that holds the state of the process.
//
// Step takes one Event (events.go) at a time, always on the same goroutine. It turns events into calls on the admission
// controller (package choice), carries out what the controller asks for, and calls Effects for the sockets. Decisions
// on requests are the controller's alone. Package sockets calls Step in the process; the lab's simfleet calls it in
// memory.
//
// Each part of the state has a file: clients (clients.go, client.go), requests and attempts, server pools, the counter
// client, the discovery client with the endpoint list, the cold start, timers, suspension and shutdown.
package limiter

import (
	"log/slog"

	"ospreycroft/choice"
	"ospreycroft/internal/settings"
)

// Limiter is the reducer of one limiter. Its parts call each other and the controller through methods only. It is not
// safe for concurrent use.
type Limiter struct {
	config     *settings.Config
	settings   *settings.Settings
	effects    Effects
	controller *choice.Controller
	now        int64 // time of the event that is handled, nanoseconds

	timers        timerQueue
	conns         map[ConnID]*conn // open or being dialled, of all kinds of peers
	bufferedBytes int64            // capacity of all input buffers, bytes
	results       []pendingResult

	clients    clientTable
	requests   requestTable
	servers    serverPools
	counter    counterClient
	discovery  discoveryClient
	coldStart  *coldStart // nil if the operator has set no options
	readiness  readiness
	suspension suspension
	shutdown   shutdown
	stats      statistics
	trace      trace
	scratch    scratch
}

// scratch holds buffers that are reused.
type scratch struct {
	write []byte   // output that is being encoded
	words [][]byte // words of the command that is parsed
	names nameSet  // names of the fields of the request that is parsed
}

// pendingResult is a result that the controller is told after its present call has returned. counterReply,
// healthChecked and disconnected tell its kind; if none is set, it is an attempt's.
type pendingResult struct {
	attempt       choice.AttemptResult
	counterReply  bool
	name          uint64
	outcome       choice.Outcome
	total         float64
	healthChecked string
	disconnected  string
}

// maintenancesPerIdleClose is how often maintain runs in the time after which a server closes an idle connection.
const maintenancesPerIdleClose = 32

// New makes a limiter from its configuration, with the servers that this lists. Errors: see NewWithOptions.
func New(now int64, config *settings.Config, effects Effects) (*Limiter, error) {
	return NewWithOptions(now, config, OperatorOptions{}, effects)
}

// NewWithOptions makes a limiter that starts with the operator's options. Errors: those of coldstart.New, and of a list
// in the configuration that is invalid.
func NewWithOptions(now int64, config *settings.Config, options OperatorOptions, effects Effects) (*Limiter, error) {
	l := &Limiter{config: config, settings: config.Settings, effects: effects, now: now, conns: map[ConnID]*conn{}}
	l.clients.limiter = l
	l.requests.byID = map[string]*request{}
	l.servers = serverPools{
		limiter:      l,
		pools:        map[string]*serverPool{},
		byAddress:    map[string]*serverPool{},
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

// memory decides what is given up when some kind of state has taken its part of the memory limit.
func (l *Limiter) memory() choice.MemoryBudget { return choice.MemoryBudget(l.config.Memory) }

// Step handles one event at a time now, in nanoseconds.
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

// deliverResults passes the queued results to the controller, in order; each call may queue more. Finished requests are
// forgotten after the last one.
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

// maintain looks after idle connections, the cold start and the logged counts, and schedules itself again.
func (l *Limiter) maintain() {
	l.servers.closeExpiredIdle()
	l.counter.maintain()
	if l.coldStart != nil {
		l.coldStart.timePassed()
	}
	l.servers.raiseMaxReuseIdle()
	l.logStatistics()
	l.schedule(l.now+l.settings.IdleClose/maintenancesPerIdleClose, l.maintain)
}

// Log implements choice.Effects.
func (l *Limiter) Log(text string) { slog.Info("decision", "text", text) }

package limiter

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http"

	"ospreycroft/internal/coldstart"
	"ospreycroft/internal/discovery"
	"ospreycroft/internal/hint"
	"ospreycroft/internal/pollpacer"
)

var errThrottled = errors.New("discovery has turned the call away")

// failureLogInterval is how far apart lines on a failing discovery are in the log, nanoseconds.
const failureLogInterval = 1e9

// discoveryClient is the connection to discovery.
type discoveryClient struct {
	limiter          *Limiter
	conn             *conn
	version          int64
	completeLists    int64  // whole lists that were taken in
	versionKnown     bool   // a list is held whose version discovery knows: what is newer is enough
	responseTimer    *timer // until when the call that is out must be answered
	responseReceived bool   // the connection has brought an answer
	retryTimer       *timer // when it is dialled next, while it waits for that
	pacer            *pollpacer.Pacer
	lastFailure      pollpacer.Failure // how the latest call ended, where it brought no list
	revalidating     bool              // the process stood still: what there is has to be told at once
	partialResponse  bool              // an answer has begun
	confirmedAt      int64             // when the latest list, or word that nothing has changed, came; 0 before the first
	serviceClock     int64             // the list service's clock in the answer that is taken, 0 where it does not tell
	failureLoggedAt  int64             // when a failure was last logged
	// no call is out on the connection: with a stated budget the next one goes out at its time
	awaitingSlot bool
}

// newDiscoveryClient makes the client, which makes its first call in start.
func newDiscoveryClient(l *Limiter) discoveryClient {
	pacer := pollpacer.New(l.now, l.settings.DialTimeout, max(l.settings.Position, 0), l.settings.PollInterval)
	pacer.SetNotificationBound(l.settings.DrainGrace)
	return discoveryClient{limiter: l, pacer: pacer}
}

// start makes the first call, or plans it.
func (w *discoveryClient) start() {
	if w.limiter.coldStart.hasCallRate() {
		w.scheduleSlot()
		return
	}
	delay := w.pacer.FirstDelay()
	if delay > 0 && w.versionKnown {
		w.retryTimer = w.limiter.schedule(w.limiter.now+delay, w.connect)
		return
	}
	w.connect()
}

// restore takes the list of the configuration, which may be old.
func (w *discoveryClient) restore(text []byte) error {
	if len(text) == 0 || string(text) == "null" {
		return w.restoreList(nil)
	}
	list, err := discovery.DecodeList(text)
	var refused *discovery.ListRefusedError
	if errors.As(err, &refused) && refused.Key == "instances" && refused.Server == "" {
		return w.restoreList(nil) // no server is known yet, which ends no start: discovery is asked
	}
	if err != nil {
		return fmt.Errorf("known: %w", err)
	}
	return w.restoreList(list)
}

// restoreList begins with a list, nil for none.
func (w *discoveryClient) restoreList(list *discovery.List) error {
	counted := list != nil
	if w.limiter.coldStart != nil {
		list, counted = w.limiter.coldStart.chooseList(list)
	}
	if list != nil {
		list.Complete = true
		w.versionKnown = counted // what is newer is enough: a whole list costs discovery as much as several watches
		w.applyList(list, coldstart.ListRestored)
	}
	return nil
}

// scheduleSlot makes the next call when a stated budget allows it.
func (w *discoveryClient) scheduleSlot() {
	w.limiter.timers.cancel(w.retryTimer)
	if at := w.limiter.coldStart.start.NextSlot(); at > w.limiter.now {
		w.retryTimer = w.limiter.schedule(at, w.onSlot)
		return
	}
	w.onSlot()
}

// onSlot: it is time for a call, or long past it.
func (w *discoveryClient) onSlot() {
	if w.limiter.coldStart.start.MissedSlot(w.limiter.now) {
		w.limiter.coldStart.step(coldstart.Event{Kind: coldstart.SlotMissed})
		w.scheduleSlot()
		return
	}
	w.limiter.coldStart.step(coldstart.Event{Kind: coldstart.CallMade})
	if w.awaitingSlot {
		w.awaitingSlot = false
		w.poll()
		return
	}
	w.connect()
}

func (w *discoveryClient) connect() {
	w.responseReceived = false
	w.lastFailure = pollpacer.Failed
	w.conn = w.limiter.dial(w, w.limiter.config.Discovery, w.pacer.DialTimeout())
}

func (w *discoveryClient) onConnected() { w.poll() }

// poll calls for the whole list first and then waits for what is newer.
func (w *discoveryClient) poll() {
	l := w.limiter
	var wait, limit int64
	if !l.coldStart.hasCallRate() {
		wait, limit = w.pacer.NextPoll(l.now, !w.versionKnown)
	} else {
		w.responseReceived = false
		w.lastFailure = pollpacer.Failed // each call counts for itself
		if w.versionKnown {
			wait, _ = l.coldStart.start.HoldTime(l.now)
		}
		limit = l.coldStart.start.ResponseTimeout(l.now, wait)
	}
	l.coldStart.pollMade()
	if w.revalidating && wait > 0 {
		wait, limit = 1e6, limit-wait
	}
	if w.versionKnown {
		l.scratch.write = discovery.AppendWatch(l.scratch.write[:0], l.config.Discovery, w.version, wait)
	} else {
		l.scratch.write = discovery.AppendFetch(l.scratch.write[:0], l.config.Discovery)
	}
	l.write(w.conn, l.scratch.write)
	w.partialResponse = false
	w.setResponseTimeout(l.now + limit)
}

// setResponseTimeout gives the call that is out up at a time.
func (w *discoveryClient) setResponseTimeout(at int64) {
	w.limiter.timers.cancel(w.responseTimer)
	w.responseTimer = w.limiter.schedule(at, func() { w.limiter.closeConn(w.conn, NoResponse) })
}

// logFailure logs a failure, if none was lately: an agent on the own machine is asked again many times a second.
func (w *discoveryClient) logFailure(event string, attrs ...any) {
	if w.failureLoggedAt == 0 || w.limiter.now-w.failureLoggedAt >= failureLogInterval {
		w.failureLoggedAt = w.limiter.now
		slog.Warn(event, attrs...)
	}
}

func (w *discoveryClient) onData(b []byte) (int, error) {
	if w.awaitingSlot && len(b) > 0 {
		return 0, errUnexpectedResponse
	}
	a, n, err := discovery.ReadResponse(b)
	if err == nil && n == 0 && len(b) > 0 && !w.partialResponse {
		// The rest of an answer is right behind; one that stops there would hide its news for the whole wait.
		w.partialResponse = true
		w.setResponseTimeout(min(w.responseTimer.at, w.limiter.now+w.pacer.PartialResponseTimeout()))
	}
	if err != nil { // asked at once again, it would be as bad
		w.logFailure("list-refused", hint.Attrs(err)...)
		w.responseReceived = false
		w.lastFailure = pollpacer.Failed
	}
	if err != nil || n == 0 || a.Status < 200 { // the answer itself comes behind a status of 1xx
		return n, err
	}
	err = w.handleResponse(a)
	if err != nil {
		return 0, err
	}
	if a.CloseAfter {
		w.limiter.closeConn(w.conn, IdleClosed)
	} else if w.limiter.coldStart.hasCallRate() {
		w.limiter.timers.cancel(w.responseTimer)
		w.awaitingSlot = true
		w.scheduleSlot()
	} else {
		w.poll()
	}
	return n, nil
}

// handleResponse takes a whole answer: a list, or word that there is none.
func (w *discoveryClient) handleResponse(a discovery.Response) (err error) {
	w.responseReceived = true
	if a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests {
		w.logFailure("list-throttled", append([]any{"status", a.Status}, hint.Attrs(a.Err())...)...)
		w.responseReceived = false
		w.lastFailure = pollpacer.Throttled // what is held stays, and what is newer than that is asked for again
		return errThrottled
	}
	var list *discovery.List
	err = a.Err()
	if err == nil {
		list, err = discovery.DecodeList(a.Body)
	}
	if err != nil {
		// The last good list stays. Asked at once again, it would be as bad.
		w.logFailure("list-refused", hint.Attrs(err)...)
		w.versionKnown = false
		w.responseReceived = false
		w.lastFailure = pollpacer.Failed
		return err
	}
	w.pacer.ResponseReceived(w.limiter.now)
	// One that counts from anew behind the same address may hold what was never told here.
	w.versionKnown = list.Complete || list.Version >= w.version
	w.serviceClock = a.Date
	w.applyList(list, coldstart.ListReceived)
	w.confirmedAt = w.limiter.now
	if w.revalidating {
		w.revalidating = false
		w.limiter.trustList()
	}
	if w.limiter.coldStart == nil {
		w.limiter.checkReady()
	}
	return nil
}

// onClosed renews the connection: at once where it has served, else when the pace allows it.
func (w *discoveryClient) onClosed(end CloseReason, _ int64) {
	w.limiter.timers.cancel(w.responseTimer)
	if w.awaitingSlot {
		w.awaitingSlot = false // its next call waits for its time already
		return
	}
	if end == PeerClosed && w.conn.open { // an answer without a length is whole only now
		if a, n, err := discovery.ReadClosedResponse(w.conn.input.Bytes()); err == nil && n > 0 {
			_ = w.handleResponse(a)
		}
	}
	if !w.responseReceived {
		w.limiter.coldStart.pollFailed(w.lastFailure)
	} else if end != IdleClosed {
		w.pacer.ConnectionLost(w.limiter.now)
	}
	if w.limiter.coldStart.hasCallRate() {
		w.scheduleSlot()
		return
	}
	if !w.responseReceived {
		w.retryTimer = w.limiter.schedule(w.limiter.now+w.pacer.RetryDelay(w.limiter.now, w.lastFailure), w.connect)
		return
	}
	w.connect()
}

// revalidate asks at once what has changed. Before the first call of all there is nothing to ask anew.
func (w *discoveryClient) revalidate() {
	if w.conn == nil {
		return
	}
	w.revalidating = true
	if w.limiter.conns[w.conn.id] == w.conn {
		w.responseReceived = true
		w.limiter.closeConn(w.conn, IdleClosed)
		return
	}
	w.limiter.timers.cancel(w.retryTimer)
	w.connect()
}

// followMove goes to discovery's new address, which may count its lists otherwise: the whole of it is asked for there,
// and the last good one holds meanwhile.
func (w *discoveryClient) followMove() {
	w.versionKnown = false
	w.pacer.ServiceMoved(w.limiter.now)
	if w.limiter.coldStart != nil {
		w.limiter.coldStart.step(coldstart.Event{Kind: coldstart.DiscoveryMoved})
	}
	if w.limiter.coldStart.hasCallRate() {
		w.awaitingSlot = false
		w.limiter.timers.cancel(w.retryTimer)
	}
	if w.conn != nil && w.limiter.conns[w.conn.id] == w.conn {
		w.responseReceived = true
		w.limiter.closeConn(w.conn, IdleClosed)
		return
	}
	// It waits for its turn at the old address. What the new one has to tell counts as notified before that may be
	// over.
	w.limiter.timers.cancel(w.retryTimer)
	if w.limiter.coldStart.hasCallRate() {
		w.scheduleSlot()
		return
	}
	w.connect()
}

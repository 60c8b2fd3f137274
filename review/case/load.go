package main

import (
	"fmt"
	"sync"
	"time"

	"ospreycroft/review/standin"
)

// usualRate is the usual load, in requests a second, of all limiters together.
const usualRate = 60.0

// load sends requests at an even rate until stopped.
type load struct {
	stop chan struct{}
	done sync.WaitGroup
}

// startLoad sends what next makes, so many a second; next is told the request's number.
func startLoad(rate float64, next func(n int) (*standin.Clients, standin.Request)) *load {
	l := &load{stop: make(chan struct{})}
	l.done.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-l.stop:
				return
			case <-ticker.C:
				clients, request := next(n)
				clients.Send(request)
			}
		}
	})
	return l
}

func (l *load) end() {
	close(l.stop)
	l.done.Wait()
}

// usual is the usual load: customers of the plan consortium, each through all limiters in turn. A try is given up after
// half of the class's deadline to all of it.
func (w *world) usual(name string, customers int) func(n int) (*standin.Clients, standin.Request) {
	return func(n int) (*standin.Clients, standin.Request) {
		r := standin.Request{
			Verb: "SVC.QUERY", Customer: fmt.Sprintf("%016x", 0xc0+n%customers), ID: fmt.Sprintf("%s-%d", name, n),
			Class: fetchClass, Plan: "consortium", Timeout: time.Duration(1250+125*(n%11)) * time.Millisecond, Units: 1,
			Spread: len(w.limiters), First: 0,
		}
		if n%4 == 3 {
			r.Verb, r.Class, r.Timeout, r.Units, r.Body = "SVC.SUBMIT", commitClass, 5*time.Second, 2, "commit "+r.ID
		}
		return w.clients[n%len(w.clients)], r
	}
}

// results waits for all requests.
func (w *world) results() (all []standin.Result) {
	for _, c := range w.clients {
		all = append(all, c.Wait()...)
	}
	return all
}

// count returns how many results are of a kind.
func count(results []standin.Result, kind standin.Kind) (n int) {
	for _, r := range results {
		if r.Kind == kind {
			n++
		}
	}
	return n
}

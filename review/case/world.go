package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"ospreycroft/review/standin"
)

// The deployment of the cases: ennis-alignment at its first size. Figures that the site file gives as a range are from
// within that range. Times are seconds.
const (
	serverCount   = 9
	fetchClass    = "fetch-constants"
	commitClass   = "commit-constants"
	fetchDeadline = 2.5
	groupRate     = 4.0  // plan group
	departRate    = 10.0 // plan department
	departBurst   = 15.0
	ceilingFactor = 1.7 // the ceiling is this many times the quota
	consortRate   = 28.0
	unitsTop      = 6.0
)

var zones = []string{"east-hall", "west-hall", "north-hall"}

// world is a deployment: servers, discovery, the counter, and limiters with the clients of each.
type world struct {
	root, folder string
	record       *standin.Record
	servers      *standin.Servers
	discovery    *standin.Discovery
	counter      *standin.Counter
	configs      []map[string]any
	limiters     []*standin.Limiter
	clients      []*standin.Clients
}

// plan is an entry of the tariffs.
func plan(name string, rate, burst, ceiling float64) map[string]any {
	p := map[string]any{"name": name, "rate": rate, "most-at-once": burst, "value-factor": 1.0, "beyond-costs": 0.5}
	if ceiling > 0 {
		p["hard-rate"], p["never-over-depth"] = rate*ceiling, burst*ceiling
		p["cap-slack"] = max(0.1*burst*ceiling, unitsTop)
	}
	return p
}

// settings are the settings of a limiter of the site.
func settings(limiters, position int) map[string]any {
	return map[string]any{
		"balancers": limiters, "position": position, "granularity": 0.004, "registry-mode": "pushed",
		"my-zone": zones[position%len(zones)], "dcs": zones,
		"classes": []map[string]any{
			{"name": fetchClass, "aim": 0.8, "deadline": fetchDeadline, "effect": "free", "group": "all", "worth": 1.0},
			{"name": commitClass, "aim": 2.0, "deadline": 8.0, "effect": "single_shot", "group": "all", "worth": 2.0},
		},
		"tariffs": []map[string]any{
			plan("group", groupRate, groupRate*4, 0), plan("department", departRate, departBurst, ceilingFactor),
			plan("consortium", consortRate, consortRate*2, 0),
		},
		"family-info": map[string]any{"has-counter": true, "count-wait": 0.05, "units-top": unitsTop},
		"contract": map[string]any{"cold-from": 0.25, "warm-within": 15.0, "stop-sending-within": 0.25, "fall": 3.0,
			"fall-multiple": 3.0, "grace-to-answer": 0.016},
		"permissions": map[string]any{"attempts-cap": 3, "cancelling": true, "dial-timeout": 0.25, "idle-close": 15.0,
			"max-retry-after": 2.0, "probes": false, "retry-after": true, "second-copies": false},
	}
}

// newWorld starts the stand-ins and the limiters. change, which may be nil, changes the settings before the start.
func newWorld(limiters int, change func(settings map[string]any)) (*world, error) {
	w := &world{root: os.Getenv("REVIEW_ROOT")}
	var err error
	if w.folder, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if w.record, err = standin.NewRecord(filepath.Join(os.Getenv("REVIEW_CASE"), "record.txt")); err != nil {
		return w, err
	}
	w.servers = &standin.Servers{Record: w.record,
		Work: map[string]time.Duration{fetchClass: 100 * time.Millisecond, commitClass: 200 * time.Millisecond}}
	w.counter = &standin.Counter{Record: w.record}
	w.discovery = &standin.Discovery{Record: w.record}
	var instances []standin.Instance
	for i := range serverCount {
		name := fmt.Sprintf("s-%d", i)
		address, err := w.servers.Start(name)
		if err != nil {
			return w, err
		}
		instances = append(instances, standin.Instance{ID: name, HostPort: address, Zone: zones[i%len(zones)],
			Machine: "std-4core", Cell: i / len(zones), Lifecycle: "in_service", Weight: 1})
	}
	if err := w.counter.Start(); err != nil {
		return w, err
	}
	if err := w.discovery.Start(instances); err != nil {
		return w, err
	}
	return w, w.startLimiters(limiters, change)
}

func (w *world) startLimiters(limiters int, change func(settings map[string]any)) error {
	for i := range limiters {
		set := settings(limiters, i)
		if change != nil {
			change(set)
		}
		config := map[string]any{
			"discovery": w.discovery.Address(), "counter": w.counter.Address(), "seed": fmt.Sprintf("%016x", 0x8c1f30d2+i),
			"limits": map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": 1024},
			"known":  w.discovery.Full().Known(), "settings": set,
		}
		l, err := standin.StartLimiter(w.root, w.folder, fmt.Sprintf("n%d", i), config)
		if err != nil {
			return err
		}
		w.configs = append(w.configs, config)
		w.limiters = append(w.limiters, l)
		w.clients = append(w.clients, &standin.Clients{Record: w.record, Limiter: l.Name, Address: l.Address,
			Patience: 1500 * time.Millisecond})
	}
	for _, l := range w.limiters {
		if err := l.WaitReady(30 * time.Second); err != nil {
			return err
		}
	}
	w.record.Linef("all %d limiters are ready", limiters)
	return nil
}

// close ends all processes and stand-ins. The limiters' logs go behind the record.
func (w *world) close() {
	for _, l := range w.limiters {
		l.Kill()
	}
	if w.record != nil {
		for _, l := range w.limiters {
			log, _ := os.ReadFile(filepath.Join(w.folder, l.Name, "log.txt"))
			w.record.Linef("log of %s:\n%s", l.Name, log)
		}
		w.record.Close()
	}
	_ = os.RemoveAll(w.folder)
}

// until sleeps until a time of the record.
func (w *world) until(at time.Duration) { time.Sleep(at - w.record.Now()) }

// check returns an error if a limiter has ended.
func (w *world) check() error {
	for _, l := range w.limiters {
		if l.Ended() {
			return fmt.Errorf("limiter %s ended by itself", l.Name)
		}
	}
	return nil
}

// Package experiment reads the lab's experiment file: a TOML file that describes the fleet (limiters, servers, zones,
// counter), the load (arrival rate, customers, classes, client deadlines, retries, cancelled requests) and the timeline
// of faults. Its table `settings` holds the limiters' settings in the form of their configuration and is checked by the
// limiter's own decoder. The error for an invalid file names the key.
package experiment

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"ospreycroft/internal/lab/emulator"
	"ospreycroft/internal/lab/faultproxy"
	"ospreycroft/internal/settings"
)

// Experiment is a decoded and checked experiment file. Times in the file, and so in the fields with a tag, are seconds
// unless a comment says otherwise.
type Experiment struct {
	Name   string  `toml:"name"`
	Seed   uint64  `toml:"seed"`
	Length float64 `toml:"length"` // seconds of load
	Grace  float64 `toml:"grace"`  // seconds after a drain notice within which an attempt may still start
	Slack  float64 `toml:"slack"`  // seconds of its rate by which a ceiling may be exceeded (rule 5)
	// SlackShare raises the allowed rate and burst of a ceiling by a share of them. SlackUnits is the least amount, in
	// units, by which the burst is raised.
	SlackShare  float64  `toml:"slack_share"`
	SlackUnits  float64  `toml:"slack_units"`
	Limiters    Limiters `toml:"limiters"`
	Servers     []Pool   `toml:"servers"`
	Counter     Counter  `toml:"counter"`
	Load        Load     `toml:"load"`
	Faults      []Fault  `toml:"faults"`
	RawSettings any      `toml:"settings"`
	// RawMovedSettings are the keys that replace those of RawSettings for the last Limiters.Moved limiters.
	RawMovedSettings any `toml:"moved"`
	Settings         *settings.Settings
	Text             json.RawMessage // the settings in the JSON of a limiter's configuration
	MovedText        json.RawMessage // the same for the moved limiters; nil if there are none
}

// Limiters says how many limiter processes run, and how they are started.
type Limiters struct {
	Count   int    `toml:"count"`
	Program string `toml:"program"` // path of the ospreycroft binary; default bin/ospreycroft
	Memory  int    `toml:"memory_mb"`
	Sockets int    `toml:"sockets"`
	Start   string `toml:"start"` // "together" starts all within a second, "" one after the other
	// ListCalls is the rate of calls, per second and over all limiters, that discovery can take. Above 0, each limiter
	// gets an operator's file that states it.
	ListCalls float64 `toml:"list_calls_per_s"`
	Moved     int     `toml:"moved"` // number of limiters, the last ones, that get the settings of the table `moved`
}

// Pool is a set of servers with equal properties in one zone.
type Pool struct {
	Name       string  `toml:"name"`
	Count      int     `toml:"count"`
	Zone       string  `toml:"zone"`
	Work       float64 `toml:"work"`        // mean service time of a request, in seconds
	Capacity   int     `toml:"capacity"`    // concurrent requests that a warm server can take; 0 means 64
	ColdFrom   float64 `toml:"cold_from"`   // share of Capacity that a server can take just after a start
	WarmWithin float64 `toml:"warm_within"` // seconds from a start to full capacity; 0 means always warm
	Repeats    float64 `toml:"repeats"`     // seconds for which a zone drops duplicate idempotency keys; 0 means never
	Report     bool    `toml:"report"`      // whether answers carry a load report: backlog, throughput and recent_ms
	MaxConns   int     `toml:"connections"` // connections that a server serves, others get -BUSY; 0 means no limit
	Cold       bool    `toml:"cold"`        // whether the servers start cold with the run; else they are warm
	// CrashWindow is the window, in seconds, within which commands over its slow-start budget crash a cold server; 0
	// means never.
	CrashWindow float64 `toml:"fall"`
	Slots       int     `toml:"slots"` // requests that a server executes at a time; 0 means no limit
}

// Counter says whether the fleet has a shared counter.
type Counter struct {
	On bool `toml:"on"`
}

// Load is an open-loop load: Poisson arrivals at Rate requests per second over all customers.
type Load struct {
	Rate      float64    `toml:"rate"`
	Customers []Customer `toml:"customers"`
	Classes   []ClassMix `toml:"tracks"`
	Retry     float64    `toml:"retry"`   // share of rejected requests that a client retries after the Retry-After time
	GiveUp    float64    `toml:"give_up"` // share of requests whose client disconnects at half its deadline
}

// Customer is one customer of the load.
type Customer struct {
	ID     string  `toml:"id"` // 16 hex digits
	Plan   string  `toml:"plan"`
	Share  float64 `toml:"share"`  // weight among the customers' arrivals
	Spread int     `toml:"spread"` // number of limiters that serve the customer
	First  int     `toml:"first"`  // number of the first of them
}

// ClassMix is one class of the load.
type ClassMix struct {
	Name    string  `toml:"name"`
	Share   float64 `toml:"share"`   // weight among the classes' requests
	Units   float64 `toml:"units"`   // units of each request
	Timeout float64 `toml:"cut_off"` // seconds from a request to its client's deadline
}

// Fault is one entry of the timeline. Target names a server ("server:NAME"), a pool ("pool:NAME"), "counter",
// "discovery", "load", limiters ("limiter:3", "limiter:0..9", "limiter:*") or links ("link:limiter:0..4-pool:hall1",
// see LinkPeer). Kinds in addition to the emulator's are drain, gone and replace for servers, those of ProcessFaults
// for limiters, those of faultproxy for links, and burst for the load, which multiplies the arrival rate by Factor.
type Fault struct {
	Kind   string  `toml:"kind"`
	Target string  `toml:"target"`
	From   float64 `toml:"from"`
	Until  float64 `toml:"until"` // 0 means the rest of the run
	Factor float64 `toml:"factor"`
	// Share is the share of commands affected or, for limiters and links, of the limiters named; 0 means all.
	Share float64 `toml:"share"`
	// Every is the number of seconds between the steps of a fault of limiters: each step affects Share of them, until
	// all have been affected once. 0 means one step.
	Every   float64 `toml:"every"`
	Delay   float64 `toml:"delay"`    // seconds by which the start of the process at Until is delayed
	OldList bool    `toml:"old_list"` // whether the process restarts with the endpoint list of its first start

	Connections float64 `toml:"connections"` // share of a link's connections that the fault affects; 0 means all

	Limiters []int     `toml:"-"` // the limiters that Target names, set by the check
	Link     *LinkPeer `toml:"-"` // the other end of the links that Target names; nil for other targets
}

// Nanos converts seconds to nanoseconds.
func Nanos(seconds float64) int64 { return int64(seconds * float64(time.Second)) }

// Read reads the file at path and parses it with Parse.
func Read(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(string(text))
}

// Parse decodes and checks the text of an experiment file. An error names the invalid key.
func Parse(text string) (*Experiment, error) {
	e := &Experiment{Grace: 0.3, Slack: 0.15,
		Limiters: Limiters{Count: 1, Program: "bin/ospreycroft", Memory: 192, Sockets: 1024}}
	meta, err := toml.Decode(text, e)
	if err != nil {
		return nil, err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		keys := []string{}
		for _, k := range unknown {
			if k[0] != "settings" && k[0] != "moved" {
				keys = append(keys, k.String())
			}
		}
		if len(keys) > 0 {
			sort.Strings(keys)
			return nil, fmt.Errorf("%s: unknown key", keys[0])
		}
	}
	if err := e.check(); err != nil {
		return nil, err
	}
	return e, nil
}

// check sets the derived fields and returns the first error found.
func (e *Experiment) check() error {
	if err := e.checkScalars(); err != nil {
		return err
	}
	if err := e.decodeSettings(); err != nil {
		return err
	}
	pools, err := e.checkServers()
	if err != nil {
		return err
	}
	if err := e.checkLoad(); err != nil {
		return err
	}
	if s := e.Limiters.Start; s != "" && s != "together" {
		return &EntryError{"limiters.start", fmt.Sprintf("%q is not \"together\"", s)}
	}
	return e.checkFaults(pools)
}

// checkScalars checks the keys that can be checked without the settings and the pools.
func (e *Experiment) checkScalars() error {
	switch {
	case e.Name == "":
		return fmt.Errorf("name: missing")
	case e.SlackShare < 0 || e.SlackUnits < 0 || e.Slack < 0 || e.Grace < 0:
		return fmt.Errorf("slack_share: %v, slack_units %v, slack %v, grace %v: a value is below 0",
			e.SlackShare, e.SlackUnits, e.Slack, e.Grace)
	case e.Length <= 0:
		return fmt.Errorf("length: %v seconds is not above 0", e.Length)
	case e.Limiters.Count < 1:
		return fmt.Errorf("limiters.count: %d is below 1", e.Limiters.Count)
	case e.Limiters.ListCalls < 0:
		return fmt.Errorf("limiters.list_calls_per_s: %v is below 0", e.Limiters.ListCalls)
	case e.Load.Rate <= 0:
		return fmt.Errorf("load.rate: %v is not above 0", e.Load.Rate)
	case len(e.Servers) == 0:
		return fmt.Errorf("servers: none")
	case len(e.Load.Customers) == 0 || len(e.Load.Classes) == 0:
		return fmt.Errorf("load: customers or tracks are missing")
	}
	return nil
}

// decodeSettings decodes the limiters' settings, and those of the moved limiters.
func (e *Experiment) decodeSettings() error {
	raw, ok := e.RawSettings.(map[string]any)
	if !ok {
		return fmt.Errorf("settings: missing")
	}
	raw["balancers"] = int64(e.Limiters.Count)
	e.Text, _ = json.Marshal(raw)
	if e.Text == nil {
		return fmt.Errorf("settings: cannot be written as JSON")
	}
	decoded, err := settings.Decode(e.Text)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	e.Settings = decoded
	if err := e.checkMoved(raw); err != nil {
		return err
	}
	if decoded.CounterTimeout > 0 != e.Counter.On {
		return fmt.Errorf("counter.on: %v, but settings.family-info.has-counter has the other value", e.Counter.On)
	}
	return nil
}

// checkServers checks the pools of servers and returns their names.
func (e *Experiment) checkServers() (map[string]bool, error) {
	names := map[string]bool{}
	for i, p := range e.Servers {
		if p.Name == "" || p.Count < 1 || p.Work <= 0 || names[p.Name] {
			return nil, fmt.Errorf("servers[%d]: a value is missing, repeated or too low: name %q, count %d, work %v",
				i, p.Name, p.Count, p.Work)
		}
		if p.CrashWindow < 0 {
			return nil, &EntryError{fmt.Sprintf("servers[%d].fall", i), fmt.Sprintf("%v seconds is below 0", p.CrashWindow)}
		}
		if p.ColdFrom < 0 || p.ColdFrom > 1 || p.WarmWithin < 0 {
			return nil, fmt.Errorf("servers[%d].cold_from: %v is not within 0 to 1, or warm_within %v is below 0",
				i, p.ColdFrom, p.WarmWithin)
		}
		names[p.Name] = true
	}
	return names, nil
}

// checkLoad checks the load's customers and classes against the settings.
func (e *Experiment) checkLoad() error {
	for i, c := range e.Load.Customers {
		if len(c.ID) != 16 || strings.Trim(c.ID, "0123456789abcdef") != "" {
			return fmt.Errorf("load.customers[%d].id: %q is not 16 hex digits", i, c.ID)
		}
		if e.Settings.Plans[c.Plan] == nil {
			return fmt.Errorf("load.customers[%d].plan: %q is not in settings.tariffs", i, c.Plan)
		}
		if c.Share <= 0 || c.Spread < 1 || c.Spread > e.Limiters.Count || c.First < 0 {
			return fmt.Errorf("load.customers[%d]: a value is out of range: share %v, spread %d, first %d",
				i, c.Share, c.Spread, c.First)
		}
	}
	for i, t := range e.Load.Classes {
		if e.Settings.Classes[t.Name] == nil {
			return fmt.Errorf("load.tracks[%d].name: %q is not in settings.classes", i, t.Name)
		}
		if t.Share <= 0 || t.Units <= 0 || t.Timeout <= 0 {
			return fmt.Errorf("load.tracks[%d]: a value is not above 0: share %v, units %v, cut_off %v",
				i, t.Share, t.Units, t.Timeout)
		}
	}
	return nil
}

// checkFaults checks the timeline. It translates the keys in errors of the emulator and the fault proxy to the file's.
func (e *Experiment) checkFaults(pools map[string]bool) error {
	for i := range e.Faults {
		err := e.checkFault(&e.Faults[i], pools)
		if err == nil {
			continue
		}
		if faultErr := (*emulator.FaultError)(nil); errors.As(err, &faultErr) {
			return &EntryError{fmt.Sprintf("faults[%d].%s", i, faultErr.Key), faultErr.Why}
		}
		if faultErr := (*faultproxy.FaultError)(nil); errors.As(err, &faultErr) {
			return &EntryError{fmt.Sprintf("faults[%d].%s", i, fileKeys[faultErr.Key]), faultErr.Why}
		}
		return fmt.Errorf("faults[%d]: %w", i, err)
	}
	return nil
}

// checkFault checks one entry of the timeline and sets its derived fields.
func (e *Experiment) checkFault(f *Fault, pools map[string]bool) error {
	emulatorFault := emulator.Fault{Kind: f.Kind, From: Nanos(f.From), Until: Nanos(f.Until), Factor: f.Factor,
		Share: f.Share}
	target, name, _ := strings.Cut(f.Target, ":")
	if target == "limiter" {
		return e.checkProcessFault(f, name)
	}
	if target == "link" {
		return e.checkLinkFault(f, name, pools)
	}
	if f.Connections != 0 {
		return &emulator.FaultError{Key: "connections", Why: "only links have this key"}
	}
	if f.Every != 0 || f.Delay != 0 || f.OldList {
		return &emulator.FaultError{Key: "every", Why: "only limiters have the keys every, delay and old_list"}
	}
	switch {
	case f.Target == "counter":
		if !e.Counter.On {
			return &emulator.FaultError{Key: "target", Why: "the experiment has no counter"}
		}
		return emulator.CheckFault(emulatorFault, emulator.CounterFaults)
	case f.Target == "discovery":
		return emulator.CheckFault(emulatorFault, emulator.DiscoveryFaults)
	case f.Target == "load" && f.Kind == "burst":
		if f.Factor <= 0 {
			return &emulator.FaultError{Key: "factor", Why: fmt.Sprintf("%v is not above 0", f.Factor)}
		}
		return emulator.CheckFault(emulatorFault, map[string]string{"burst": ""})
	case target == "pool" && pools[name] || target == "server" && name != "":
		if f.Kind == "drain" || f.Kind == "gone" || f.Kind == "replace" {
			return emulator.CheckFault(emulatorFault, map[string]string{f.Kind: ""})
		}
		return emulator.CheckFault(emulatorFault, emulator.ServerFaults)
	}
	return &emulator.FaultError{Key: "target",
		Why: fmt.Sprintf("%q is unknown, or does not have faults of kind %q", f.Target, f.Kind)}
}

// checkMoved decodes the settings of the moved limiters: raw, with each key that the table `moved` has replaced by the
// table's value.
func (e *Experiment) checkMoved(raw map[string]any) error {
	overrides, _ := e.RawMovedSettings.(map[string]any)
	if n := e.Limiters.Moved; n < 0 || n > e.Limiters.Count || n > 0 != (overrides != nil) {
		return fmt.Errorf("limiters.moved: %d of %d; a number above 0 and a table moved require each other",
			n, e.Limiters.Count)
	}
	if overrides == nil {
		return nil
	}
	merged := map[string]any{}
	for k, v := range raw {
		merged[k] = v
	}
	for k, v := range overrides {
		merged[k] = v
	}
	text, err := json.Marshal(merged)
	if err != nil {
		return fmt.Errorf("moved: %w", err)
	}
	decoded, err := settings.Decode(text)
	if err != nil {
		return fmt.Errorf("moved: %w", err)
	}
	for name, plan := range e.Settings.Plans { // the lab checks all limiters against one ceiling per plan
		if other := decoded.Plans[name]; other == nil || other.CeilingRate != plan.CeilingRate ||
			other.CeilingBurst != plan.CeilingBurst {
			return fmt.Errorf("moved.tariffs: %s: missing, or with another hard ceiling", name)
		}
	}
	e.MovedText = text
	return nil
}

// DecodeSettings decodes the settings of a run's record with the limiter's own decoder.
func DecodeSettings(text json.RawMessage) (*settings.Settings, error) {
	decoded, err := settings.Decode(text)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return decoded, nil
}

// Revalidate checks the experiment again and derives its settings anew, after a change of the number of limiters or of
// the load.
func (e *Experiment) Revalidate() error {
	raw, ok := e.RawSettings.(map[string]any)
	if !ok {
		return fmt.Errorf("settings: missing")
	}
	copied := map[string]any{}
	for k, v := range raw {
		copied[k] = v
	}
	e.RawSettings = copied
	return e.check()
}

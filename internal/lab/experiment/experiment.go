// Package experiment reads the lab's experiment file: one TOML file that names the fleet (limiters, servers,
// zones, counter), the load (arrivals, customers, classes, cut-offs, clients that retry or give up) and the
// timeline of faults. The limiter's own settings sit in it as the table `settings`, in the form its
// configuration has, and are checked by the limiter's own decoder. A bad file is refused naming the key.
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

// Experiment is one decoded, checked experiment file. Durations are in seconds in the file.
type Experiment struct {
	Name   string  `toml:"name"`
	Seed   uint64  `toml:"seed"`
	Length float64 `toml:"length"` // seconds of load
	Grace  float64 `toml:"grace"`  // seconds after a drain notice within which an attempt may still begin
	Slack  float64 `toml:"slack"`  // seconds of a ceiling's rate allowed beyond it (rule 5)
	// SlackShare and SlackUnits widen the ceiling by a share of it, or by so many units at once if more.
	SlackShare  float64  `toml:"slack_share"`
	SlackUnits  float64  `toml:"slack_units"`
	Limiters    Limiters `toml:"limiters"`
	Servers     []Pool   `toml:"servers"`
	Counter     Counter  `toml:"counter"`
	Load        Load     `toml:"load"`
	Faults      []Fault  `toml:"faults"`
	RawSettings any      `toml:"settings"`
	// the settings that limiters moved to another shape have in place of those
	RawMovedSettings any `toml:"moved"`
	Settings         *settings.Settings
	Text             json.RawMessage // the settings as the limiter's configuration holds them
	MovedText        json.RawMessage // and those of the limiters that have moved
}

// Limiters are how many limiters run and how: "process" starts the program, as the platform does.
type Limiters struct {
	Count   int    `toml:"count"`
	Program string `toml:"program"` // path of the ospreycroft binary
	Memory  int    `toml:"memory_mb"`
	Sockets int    `toml:"sockets"`
	Start   string `toml:"start"` // "together": all within a second; else one after the other
	// ListCalls is what an operator's file states of discovery, where one is given to each limiter: calls a second that
	// it bears from all of them.
	ListCalls float64 `toml:"list_calls_per_s"`
	Moved     int     `toml:"moved"` // so many of them, the last ones, have the settings of the table moved
}

// Pool is a set of alike servers in one zone.
type Pool struct {
	Name       string  `toml:"name"`
	Count      int     `toml:"count"`
	Zone       string  `toml:"zone"`
	Work       float64 `toml:"work"` // mean seconds a request takes
	Capacity   int     `toml:"capacity"`
	ColdFrom   float64 `toml:"cold_from"`
	WarmWithin float64 `toml:"warm_within"`
	Repeats    float64 `toml:"repeats"`     // seconds the zone's group drops a repeated fingerprint; 0 for none
	Report     bool    `toml:"report"`      // answers bring a load report: backlog, throughput and recent_ms
	Conns      int     `toml:"connections"` // that a server serves, others are told that it is busy; 0 for any number
	Cold       bool    `toml:"cold"`        // its servers start with the run, cold; else they were started long ago
	// seconds: a cold server falls by what it is sent within so long; 0 for never
	Fall  float64 `toml:"fall"`
	Slots int     `toml:"slots"` // requests that a server does at a time; 0 for any number
}

// Counter is whether there is a counter.
type Counter struct {
	On bool `toml:"on"`
}

// Load is the open-loop load: Poisson arrivals at Rate requests a second over all customers.
type Load struct {
	Rate      float64    `toml:"rate"`
	Customers []Customer `toml:"customers"`
	Tracks    []ClassMix `toml:"tracks"`
	Retry     float64    `toml:"retry"`   // share of rejected requests a client sends again after the retry-after
	GiveUp    float64    `toml:"give_up"` // share of requests whose client goes away at half its deadline
}

// Customer is one customer: its id (16 hex digits), plan, share of arrivals and set of limiters.
type Customer struct {
	ID     string  `toml:"id"`
	Plan   string  `toml:"plan"`
	Share  float64 `toml:"share"`
	Spread int     `toml:"spread"`
	First  int     `toml:"first"`
}

// ClassMix is one class's share of requests, its units and the client's deadline in seconds.
type ClassMix struct {
	Name   string  `toml:"name"`
	Share  float64 `toml:"share"`
	Units  float64 `toml:"units"`
	CutOff float64 `toml:"cut_off"`
}

// Fault is one entry of the timeline. Target names a server ("server:NAME"), a pool ("pool:NAME"), "counter",
// "discovery", "load", limiters ("limiter:3", "limiter:0..9", "limiter:*") or links ("link:limiter:0..4-pool:hall1",
// see Ends). Kinds beside the emulator's: drain, gone, replace (servers), kill, stop and term (limiters; see Steps),
// burst (load, Factor times the rate).
type Fault struct {
	Kind   string  `toml:"kind"`
	Target string  `toml:"target"`
	From   float64 `toml:"from"`
	Until  float64 `toml:"until"`
	Factor float64 `toml:"factor"`
	Share  float64 `toml:"share"` // of commands; of the limiters named, for limiters and links: 0 for all
	// For limiters: seconds between steps, each of Share of them, until all have had their turn; 0 for one step.
	Every   float64 `toml:"every"`
	Delay   float64 `toml:"delay"`    // seconds that a restart takes before the process starts
	OldList bool    `toml:"old_list"` // it restarts with the list that it had at its first start

	Connections float64 `toml:"connections"` // share of a link's connections that a link fault hits, 0 for all

	Limiters []int     `toml:"-"` // those that the target names, once checked
	Link     *LinkPeer `toml:"-"` // what the target names beside them, of a link fault
}

// Nanos turns seconds of the file into nanoseconds.
func Nanos(seconds float64) int64 { return int64(seconds * float64(time.Second)) }

// Read decodes and checks an experiment file.
func Read(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(string(text))
}

// Parse decodes and checks an experiment's text; an error names the key at fault.
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
			return nil, fmt.Errorf("%s: not a key of an experiment", keys[0])
		}
	}
	if err := e.check(); err != nil {
		return nil, err
	}
	return e, nil
}

// check fills in what the file leaves to be derived and says what is wrong with the file, the first thing in this order.
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
		return &EntryError{"limiters.start", fmt.Sprintf("%q is neither together nor left out", s)}
	}
	return e.checkFaults(pools)
}

// checkScalars checks the keys that stand for themselves.
func (e *Experiment) checkScalars() error {
	switch {
	case e.Name == "":
		return fmt.Errorf("name: missing")
	case e.SlackShare < 0 || e.SlackUnits < 0 || e.Slack < 0 || e.Grace < 0:
		return fmt.Errorf("slack_share: %v, slack_units %v, slack %v, grace %v: none may be below 0",
			e.SlackShare, e.SlackUnits, e.Slack, e.Grace)
	case e.Length <= 0:
		return fmt.Errorf("length: %v seconds", e.Length)
	case e.Limiters.Count < 1:
		return fmt.Errorf("limiters.count: %d", e.Limiters.Count)
	case e.Limiters.ListCalls < 0:
		return fmt.Errorf("limiters.list_calls_per_s: %v", e.Limiters.ListCalls)
	case e.Load.Rate <= 0:
		return fmt.Errorf("load.rate: %v", e.Load.Rate)
	case len(e.Servers) == 0:
		return fmt.Errorf("servers: none")
	case len(e.Load.Customers) == 0 || len(e.Load.Tracks) == 0:
		return fmt.Errorf("load: customers and tracks are both needed")
	}
	return nil
}

// decodeSettings decodes the settings of the limiters, and of those that have moved.
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
		return fmt.Errorf("counter.on: %v, but settings.family-info.has-counter says otherwise", e.Counter.On)
	}
	return nil
}

// checkServers checks the pools of servers and returns their names.
func (e *Experiment) checkServers() (map[string]bool, error) {
	names := map[string]bool{}
	for i, p := range e.Servers {
		if p.Name == "" || p.Count < 1 || p.Work <= 0 || names[p.Name] {
			return nil, fmt.Errorf("servers[%d]: name %q, count %d, work %v", i, p.Name, p.Count, p.Work)
		}
		if p.Fall < 0 {
			return nil, &EntryError{fmt.Sprintf("servers[%d].fall", i), fmt.Sprintf("%v seconds", p.Fall)}
		}
		if p.ColdFrom < 0 || p.ColdFrom > 1 || p.WarmWithin < 0 {
			return nil, fmt.Errorf("servers[%d].cold_from: %v, warm_within %v", i, p.ColdFrom, p.WarmWithin)
		}
		names[p.Name] = true
	}
	return names, nil
}

// checkLoad checks customers and classes against the settings.
func (e *Experiment) checkLoad() error {
	for i, c := range e.Load.Customers {
		if len(c.ID) != 16 || strings.Trim(c.ID, "0123456789abcdef") != "" {
			return fmt.Errorf("load.customers[%d].id: %q is not 16 hex digits", i, c.ID)
		}
		if e.Settings.Plans[c.Plan] == nil {
			return fmt.Errorf("load.customers[%d].plan: %q is not in settings.tariffs", i, c.Plan)
		}
		if c.Share <= 0 || c.Spread < 1 || c.Spread > e.Limiters.Count || c.First < 0 {
			return fmt.Errorf("load.customers[%d]: share %v, spread %d, first %d", i, c.Share, c.Spread, c.First)
		}
	}
	for i, t := range e.Load.Tracks {
		if e.Settings.Classes[t.Name] == nil {
			return fmt.Errorf("load.tracks[%d].name: %q is not in settings.classes", i, t.Name)
		}
		if t.Share <= 0 || t.Units <= 0 || t.CutOff <= 0 {
			return fmt.Errorf("load.tracks[%d]: share %v, units %v, cut_off %v", i, t.Share, t.Units, t.CutOff)
		}
	}
	return nil
}

// checkFaults checks the timeline; an error of the emulator or of the fault proxy names the file's key.
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
		return &emulator.FaultError{Key: "connections", Why: "only links take it"}
	}
	if f.Every != 0 || f.Delay != 0 || f.OldList {
		return &emulator.FaultError{Key: "every", Why: "every, delay and old_list are for limiters"}
	}
	switch {
	case f.Target == "counter":
		if !e.Counter.On {
			return &emulator.FaultError{Key: "target", Why: "there is no counter"}
		}
		return emulator.CheckFault(emulatorFault, emulator.CounterFaults)
	case f.Target == "discovery":
		return emulator.CheckFault(emulatorFault, emulator.DiscoveryFaults)
	case f.Target == "load" && f.Kind == "burst":
		if f.Factor <= 0 {
			return &emulator.FaultError{Key: "factor", Why: fmt.Sprintf("%v times the rate", f.Factor)}
		}
		return emulator.CheckFault(emulatorFault, map[string]string{"burst": ""})
	case target == "pool" && pools[name] || target == "server" && name != "":
		if f.Kind == "drain" || f.Kind == "gone" || f.Kind == "replace" {
			return emulator.CheckFault(emulatorFault, map[string]string{f.Kind: ""})
		}
		return emulator.CheckFault(emulatorFault, emulator.ServerFaults)
	}
	return &emulator.FaultError{Key: "target", Why: fmt.Sprintf("%q is not known, or not for %q", f.Target, f.Kind)}
}

// checkMoved decodes the settings of limiters that have moved: those of the experiment, with the tables and
// values of moved in the place of theirs.
func (e *Experiment) checkMoved(raw map[string]any) error {
	overrides, _ := e.RawMovedSettings.(map[string]any)
	if n := e.Limiters.Moved; n < 0 || n > e.Limiters.Count || n > 0 != (overrides != nil) {
		return fmt.Errorf("limiters.moved: %d of %d, and it needs a table moved, which needs it", n, e.Limiters.Count)
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
	for name, plan := range e.Settings.Plans { // the rules judge both by one ceiling
		if other := decoded.Plans[name]; other == nil || other.CeilingRate != plan.CeilingRate ||
			other.CeilingBurst != plan.CeilingBurst {
			return fmt.Errorf("moved.tariffs: %s: not there, or another hard ceiling", name)
		}
	}
	e.MovedText = text
	return nil
}

// SettingsOnly decodes the settings a record holds, with the limiter's own decoder.
func SettingsOnly(text json.RawMessage) (*settings.Settings, error) {
	decoded, err := settings.Decode(text)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return decoded, nil
}

// Resize checks the experiment again after its limiters' count or load were changed, settings included.
func (e *Experiment) Resize() error {
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

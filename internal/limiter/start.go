package limiter

import (
	"log"
	"maps"
	"slices"

	"ospreycroft/choice"
	"ospreycroft/internal/coldstart"
	"ospreycroft/internal/discovery"
	"ospreycroft/internal/pollpacer"
	"ospreycroft/internal/settings"
	"ospreycroft/internal/snapshot"
)

// What the protocol says of every deployment, in nanoseconds.
const (
	listTold   = 6e9  // what a silent discovery has to tell counts as told so long after the silence began
	readyBound = 30e9 // and a limiter has to be ready within this time
)

// OperatorOptions is what operators state beside the configuration; the zero value leaves a start to the settings and pollpacer alone.
type OperatorOptions struct {
	DiscoveryCallRate float64 // calls a second that discovery bears from all limiters, 0 for what the settings imply
	ConnectionRate    float64 // new connections a second that a server bears from all limiters, 0 for no bound
	// Snapshot is what an earlier life of this limiter knew, nil for nothing; Save takes what this one knows, after each list
	// that brings changes and, while that stays true, each SaveEvery nanoseconds; nil for no disk.
	Snapshot     *snapshot.Snapshot
	SaveSnapshot func(*snapshot.Snapshot)
	SaveEvery    int64
}

// ColdStartSettings are what the start of a limiter with this configuration is computed from; none that could start before
// these were is refused for them.
func ColdStartSettings(config *settings.Config, stated OperatorOptions) coldstart.Settings {
	set := config.Settings
	return coldstart.Settings{Limiters: set.Limiters, Position: set.Position, Jitter: float64(uint64(config.Seed)>>11) / (1 << 53),
		DialTimeout: set.DialTimeout, PollInterval: set.PollInterval, ColdCapacity: min(max(set.ColdCapacity, 0), 1), SlowStartWindow: set.SlowStartWindow,
		NotificationDeadline: max(listTold, 4*set.DialTimeout), ReadinessDeadline: readyBound, CallRate: stated.DiscoveryCallRate, ConnectionRate: stated.ConnectionRate}
}

// start is how this limiter comes up where operators state something; package coldstart decides. Its methods up to bucket
// take a nil one: nothing is stated.
type start struct {
	l      *Limiter
	stated OperatorOptions
	set    coldstart.Settings
	rules  *coldstart.Start
	phase  coldstart.Phase               // as last logged
	timer  *timer                        // when the limiter may be ready
	held   map[string]discovery.Endpoint // the list, where it is saved
	saved  int64
}

func (l *Limiter) begin(stated OperatorOptions) error {
	if stated.DiscoveryCallRate == 0 && stated.ConnectionRate == 0 && stated.Snapshot == nil && stated.SaveSnapshot == nil {
		return nil
	}
	set := ColdStartSettings(l.config, stated)
	set.CeilingLeadTime = min(l.logic.ReadyAt(), l.readyBy) - l.now
	rules, err := coldstart.New(l.now, set)
	if err == nil {
		l.start = &start{l: l, stated: stated, set: set, rules: rules, held: map[string]discovery.Endpoint{}}
	}
	return err
}

// budgeted tells whether the calls for lists go by the limiter's own instants, and not by pollpacer's pace.
func (s *start) budgeted() bool { return s != nil && s.set.PollInterval > 0 && s.set.CallRate > 0 }

// asked notes a call that goes out by pollpacer's pace.
func (s *start) asked() {
	if s != nil && !s.budgeted() {
		s.step(coldstart.Event{Kind: coldstart.CallMade})
	}
}

// failed notes a call that brought no list.
func (s *start) failed(end pollpacer.Failure) {
	if s == nil {
		return
	}
	kind := coldstart.CallFailed
	if end == pollpacer.Throttled {
		kind = coldstart.CallThrottled
	}
	s.step(coldstart.Event{Kind: kind})
}

// bucket holds the new connections to one of so many servers.
func (s *start) bucket(servers int) (b coldstart.Bucket) {
	if s != nil && s.set.ConnectionRate > 0 {
		b = coldstart.NewBucket(s.l.now, &s.set, servers)
	}
	return b
}

// recall takes the list of the configuration, nil for none, and gives the one to begin with: the snapshot's where the same
// discovery has counted it further, or where there is no other. A start that the snapshot knows is not forgotten. The
// version of the list is discovery's own if counted.
func (s *start) recall(known *discovery.List) (list *discovery.List, counted bool) {
	old := s.stated.Snapshot
	if old == nil {
		return known, known != nil
	}
	same := old.Discovery == s.l.config.Discovery
	ramps := map[string]int64{}
	kept := &discovery.List{Version: old.Generation}
	for _, v := range old.Servers {
		ramps[v.ID] = v.StartedAt
		entry := discovery.Endpoint{Address: v.Address, Endpoint: choice.Endpoint{ID: v.ID, Zone: v.Zone, Cell: v.Cell,
			Weight: v.Weight, StartedAt: v.StartedAt}}
		if v.Draining {
			entry.State = choice.EndpointDraining
		}
		kept.Entries = append(kept.Entries, entry)
	}
	if list, counted = known, true; known == nil || same && old.Generation > known.Version {
		list, counted = kept, same
	}
	for i := range list.Entries {
		list.Entries[i].StartedAt = max(list.Entries[i].StartedAt, ramps[list.Entries[i].ID])
	}
	log.Printf("event=snapshot-read generation=%d servers=%d age=%.0f used=%v", old.Generation, len(old.Servers),
		float64(s.l.now-old.Taken)/1e9, list == kept)
	return list, counted
}

// keep takes a list into what is held, and has that saved where a call has brought or confirmed it.
func (s *start) keep(list *discovery.List, kind coldstart.Kind) {
	if list.Whole {
		clear(s.held)
	}
	for _, e := range list.Entries {
		was := s.held[e.ID]
		if e.StartedAt = max(e.StartedAt, was.StartedAt); e.Address == "" {
			e.Address = was.Address
		}
		if s.held[e.ID] = e; e.State == choice.EndpointGone {
			delete(s.held, e.ID)
		}
	}
	l := s.l
	if kind == coldstart.ListRestored || len(list.Entries) == 0 && !list.Whole && l.now-s.saved < s.stated.SaveEvery {
		return
	}
	s.saved = l.now
	out := &snapshot.Snapshot{Taken: l.now, Discovery: l.config.Discovery, Generation: list.Version}
	for _, id := range slices.Sorted(maps.Keys(s.held)) {
		e := s.held[id]
		out.Servers = append(out.Servers, snapshot.Server{ID: id, Address: e.Address, Zone: e.Zone, Cell: e.Cell, Weight: e.Weight,
			StartedAt: e.StartedAt, Draining: e.State == choice.EndpointDraining})
	}
	s.stated.SaveSnapshot(out)
}

// step tells the rules what happened and does what follows: clients may come, or the phase is another.
func (s *start) step(e coldstart.Event) {
	l := s.l
	s.rules.Step(l.now, e)
	phase := s.rules.Phase()
	if phase != coldstart.Starting && !l.ready {
		l.ready = true
		log.Printf("event=ready servers=%d generation=%d", len(l.pools), l.watch.version)
	}
	if phase != s.phase {
		log.Printf("event=start phase=%s share=%.2f setbacks=%d", phase, s.rules.Share(), s.rules.Setbacks)
		s.phase = phase
	}
	if l.timers.drop(s.timer); phase == coldstart.Starting {
		s.timer = l.at(max(l.now, s.rules.ReadyAt()), s.tick)
	}
}

func (s *start) tick() { s.step(coldstart.Event{}) }

// list tells the rules of a list that was applied.
func (s *start) list(kind coldstart.Kind, list *discovery.List) {
	e := coldstart.Event{Kind: kind, Whole: list.Whole, Servers: make([]coldstart.Server, len(list.Entries))}
	for i, entry := range list.Entries {
		e.Servers[i] = coldstart.Server{ID: entry.ID, StartedAt: entry.StartedAt, Leaving: entry.State != choice.EndpointReady}
	}
	s.step(e)
	if s.stated.SaveSnapshot != nil {
		s.keep(list, kind)
	}
}

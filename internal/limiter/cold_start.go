package limiter

import (
	"fmt"
	"log/slog"
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
	// what a silent discovery has to tell counts as notified so long after the silence began
	notificationDeadline = 6e9
	readinessDeadline    = 30e9 // and a limiter has to be ready within this time
)

// OperatorOptions is what operators state beside the configuration; the zero value leaves a start to the settings and
// pollpacer alone.
type OperatorOptions struct {
	DiscoveryCallRate float64 // calls a second that discovery bears from all limiters, 0 for what the settings imply
	ConnectionRate    float64 // new connections a second that a server bears from all limiters, 0 for no bound
	// Snapshot is what an earlier life of this limiter knew, nil for nothing; Save takes what this one knows, after
	// each list that brings changes and, while that stays true, each SaveEvery nanoseconds; nil for no disk.
	Snapshot     *snapshot.Snapshot
	SaveSnapshot func(*snapshot.Snapshot)
	SaveEvery    int64
}

// ColdStartSettings are what the start of a limiter with this configuration is computed from; none that could start
// before these were is refused for them.
func ColdStartSettings(config *settings.Config, opts OperatorOptions) coldstart.Settings {
	cfg := config.Settings
	return coldstart.Settings{
		Limiters:        cfg.Limiters,
		Position:        cfg.Position,
		Jitter:          float64(uint64(config.Seed)>>11) / (1 << 53),
		DialTimeout:     cfg.DialTimeout,
		PollInterval:    cfg.PollInterval,
		ColdCapacity:    min(max(cfg.ColdCapacity, 0), 1),
		SlowStartWindow: cfg.SlowStartWindow,
		NotificationDeadline: max(
			notificationDeadline,
			4*cfg.DialTimeout,
		),
		ReadinessDeadline: readinessDeadline,
		CallRate:          opts.DiscoveryCallRate,
		ConnectionRate:    opts.ConnectionRate,
	}
}

// coldStart is how this limiter comes up where operators state something; package coldstart decides. Its methods up to
// bucket take a nil one: nothing is stated.
type coldStart struct {
	limiter   *Limiter
	options   OperatorOptions
	settings  coldstart.Settings
	start     *coldstart.Start
	phase     coldstart.Phase               // as last logged
	timer     *timer                        // when the limiter may be ready
	endpoints map[string]discovery.Endpoint // the list, where it is saved
	savedAt   int64
}

func (l *Limiter) initColdStart(opts OperatorOptions) error {
	if opts.DiscoveryCallRate == 0 && opts.ConnectionRate == 0 && opts.Snapshot == nil &&
		opts.SaveSnapshot == nil {
		return nil
	}
	startSettings := ColdStartSettings(l.config, opts)
	startSettings.CeilingLeadTime = min(l.controller.ReadyAt(), l.readiness.deadline) - l.now
	state, err := coldstart.New(l.now, startSettings)
	if err == nil {
		l.coldStart = &coldStart{
			limiter:   l,
			options:   opts,
			settings:  startSettings,
			start:     state,
			endpoints: map[string]discovery.Endpoint{},
		}
	}
	return err
}

// hasCallRate tells whether the calls for lists go by the limiter's own instants, and not by pollpacer's pace.
func (s *coldStart) hasCallRate() bool {
	return s != nil && s.settings.PollInterval > 0 && s.settings.CallRate > 0
}

// pollMade notes a call that goes out by pollpacer's pace.
func (s *coldStart) pollMade() {
	if s != nil && !s.hasCallRate() {
		s.step(coldstart.Event{Kind: coldstart.CallMade})
	}
}

// pollFailed notes a call that brought no list.
func (s *coldStart) pollFailed(failure pollpacer.Failure) {
	if s == nil {
		return
	}
	kind := coldstart.CallFailed
	if failure == pollpacer.Throttled {
		kind = coldstart.CallThrottled
	}
	s.step(coldstart.Event{Kind: kind})
}

// connectionBucket holds the new connections to one of so many servers.
func (s *coldStart) connectionBucket(servers int) (b coldstart.Bucket) {
	if s != nil && s.settings.ConnectionRate > 0 {
		b = coldstart.NewBucket(s.limiter.now, &s.settings, servers)
	}
	return b
}

// chooseList takes the list of the configuration, nil for none, and gives the one to begin with: the snapshot's where
// the same discovery has counted it further, or where there is no other. A start that the snapshot knows is not
// forgotten. The version of the list is discovery's own if counted.
func (s *coldStart) chooseList(known *discovery.List) (list *discovery.List, versionValid bool) {
	snap := s.options.Snapshot
	if snap == nil {
		return known, known != nil
	}
	sameDiscovery := snap.Discovery == s.limiter.config.Discovery
	startTimes := map[string]int64{}
	restored := &discovery.List{Version: snap.Generation}
	for _, v := range snap.Servers {
		startTimes[v.ID] = v.StartedAt
		entry := discovery.Endpoint{Address: v.Address, Endpoint: choice.Endpoint{ID: v.ID, Zone: v.Zone, Cell: v.Cell,
			Weight: v.Weight, StartedAt: v.StartedAt}}
		if v.Draining {
			entry.State = choice.EndpointDraining
		}
		restored.Endpoints = append(restored.Endpoints, entry)
	}
	list = known
	versionValid = true
	if known == nil || sameDiscovery && snap.Generation > known.Version {
		list = restored
		versionValid = sameDiscovery
	}
	for i := range list.Endpoints {
		list.Endpoints[i].StartedAt = max(list.Endpoints[i].StartedAt, startTimes[list.Endpoints[i].ID])
	}
	slog.Info("snapshot-read", "generation", snap.Generation, "servers", len(snap.Servers),
		"age_s", (s.limiter.now-snap.TakenAt)/1e9, "used", list == restored)
	return list, versionValid
}

// saveList takes a list into what is held, and has that saved where a call has brought or confirmed it.
func (s *coldStart) saveList(list *discovery.List, kind coldstart.Kind) {
	if list.Complete {
		clear(s.endpoints)
	}
	for _, e := range list.Endpoints {
		previous := s.endpoints[e.ID]
		e.StartedAt = max(e.StartedAt, previous.StartedAt)
		if e.Address == "" {
			e.Address = previous.Address
		}
		s.endpoints[e.ID] = e
		if e.State == choice.EndpointGone {
			delete(s.endpoints, e.ID)
		}
	}
	l := s.limiter
	if kind == coldstart.ListRestored ||
		len(list.Endpoints) == 0 && !list.Complete && l.now-s.savedAt < s.options.SaveEvery {
		return
	}
	s.savedAt = l.now
	snap := &snapshot.Snapshot{TakenAt: l.now, Discovery: l.config.Discovery, Generation: list.Version}
	for _, id := range slices.Sorted(maps.Keys(s.endpoints)) {
		e := s.endpoints[id]
		snap.Servers = append(
			snap.Servers,
			snapshot.Server{ID: id, Address: e.Address, Zone: e.Zone, Cell: e.Cell, Weight: e.Weight,
				StartedAt: e.StartedAt, Draining: e.State == choice.EndpointDraining},
		)
	}
	s.options.SaveSnapshot(snap)
}

// step tells the rules what happened and does what follows: clients may come, or the phase is another.
func (s *coldStart) step(e coldstart.Event) {
	l := s.limiter
	s.start.Step(l.now, e)
	phase := s.start.Phase()
	if phase != coldstart.Starting && !l.readiness.ready {
		l.becomeReady()
	}
	if phase != s.phase {
		slog.Info(
			"start",
			"phase",
			phase.String(),
			"share",
			fmt.Sprintf("%.2f", s.start.Share()),
			"setbacks",
			s.start.Setbacks,
		)
		s.phase = phase
	}
	l.timers.cancel(s.timer)
	if phase == coldstart.Starting {
		s.timer = l.schedule(max(l.now, s.start.ReadyAt()), s.timePassed)
	}
}

func (s *coldStart) timePassed() { s.step(coldstart.Event{}) }

// listApplied tells the cold start of a list that was applied.
func (s *coldStart) listApplied(kind coldstart.Kind, list *discovery.List) {
	e := coldstart.Event{Kind: kind, Whole: list.Complete, Servers: make([]coldstart.Server, len(list.Endpoints))}
	for i, entry := range list.Endpoints {
		e.Servers[i] = coldstart.Server{
			ID:        entry.ID,
			StartedAt: entry.StartedAt,
			Leaving:   entry.State != choice.EndpointReady,
		}
	}
	s.step(e)
	if s.options.SaveSnapshot != nil {
		s.saveList(list, kind)
	}
}

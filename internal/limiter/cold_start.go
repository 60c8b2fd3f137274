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

// Bounds of the protocol that hold in every deployment, in nanoseconds.
const (
	// notificationDeadline: what discovery had to send counts as notified this long after it fell silent.
	notificationDeadline = 6e9
	readinessDeadline    = 30e9 // a limiter has to be ready within this time of its start
)

// OperatorOptions are the operator's settings beside the configuration. With the zero value a start depends on the
// configuration and package pollpacer alone.
type OperatorOptions struct {
	DiscoveryCallRate float64 // calls a second that discovery can take from all limiters, 0 to derive it
	ConnectionRate    float64 // new connections a second that a server can take from all limiters, 0 for no bound
	// Snapshot is the state that an earlier process of this limiter saved, nil for none. SaveSnapshot is given this
	// process's state after each list with changes, and each SaveEvery nanoseconds while discovery confirms the list;
	// nil to save nothing.
	Snapshot     *snapshot.Snapshot
	SaveSnapshot func(*snapshot.Snapshot)
	SaveEvery    int64
}

// ColdStartSettings derives the settings of a cold start. Values are bounded here so that no configuration that was
// valid without a cold start is refused because of them.
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

// coldStart controls how the limiter comes up where the operator has set options; package coldstart has the rules. The
// methods up to connectionBucket accept a nil receiver, which stands for no options.
type coldStart struct {
	limiter   *Limiter
	options   OperatorOptions
	settings  coldstart.Settings
	start     *coldstart.Start
	phase     coldstart.Phase               // as last logged
	timer     *timer                        // fires when the limiter may become ready
	endpoints map[string]discovery.Endpoint // the list by server ID, kept up to date if snapshots are saved
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

// hasCallRate tells whether calls to discovery follow this limiter's slots, and not the pace of package pollpacer.
func (s *coldStart) hasCallRate() bool {
	return s != nil && s.settings.PollInterval > 0 && s.settings.CallRate > 0
}

// pollMade records a call that was made at the pace of package pollpacer.
func (s *coldStart) pollMade() {
	if s != nil && !s.hasCallRate() {
		s.step(coldstart.Event{Kind: coldstart.CallMade})
	}
}

// pollFailed records a call that brought no list.
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

// connectionBucket makes the token bucket for new connections to one of this many servers; the zero Bucket has no
// bound.
func (s *coldStart) connectionBucket(servers int) (b coldstart.Bucket) {
	if s != nil && s.settings.ConnectionRate > 0 {
		b = coldstart.NewBucket(s.limiter.now, &s.settings, servers)
	}
	return b
}

// chooseList picks the list to start with, given the one of the configuration (nil for none). It picks the snapshot's
// if that is a later version of the same discovery, or if there is no other. Servers keep the start times of the
// snapshot where those are later. versionValid tells whether discovery itself gave the list its version, so that
// changes since then can be asked for.
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

// saveList merges a list into endpoints, and saves a snapshot if discovery has sent or confirmed the list.
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

// step passes an event to the state machine and acts on its phase: it makes the limiter ready and logs a new phase.
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

// listApplied records a list that was applied, and saves it if snapshots are saved.
func (s *coldStart) listApplied(kind coldstart.Kind, list *discovery.List) {
	e := coldstart.Event{Kind: kind, Complete: list.Complete, Servers: make([]coldstart.Server, len(list.Endpoints))}
	for i, entry := range list.Endpoints {
		e.Servers[i] = coldstart.Server{
			ID:        entry.ID,
			StartedAt: entry.StartedAt,
			Draining:  entry.State != choice.EndpointReady,
		}
	}
	s.step(e)
	if s.options.SaveSnapshot != nil {
		s.saveList(list, kind)
	}
}

package scale

import (
	"encoding/json"
	"fmt"
	"time"

	"ospreycroft/internal/lab/emulator"
	"ospreycroft/internal/lab/history"
)

// listeners are the ports that the servers of a list share.
const listeners = 64

// stands are the stand-ins of one run: discovery, the counter and a few listeners behind all servers of the list.
type stands struct {
	clock     *history.Clock
	book      *history.Recorder
	discovery *emulator.Discovery
	counter   *emulator.Counter
	servers   []*emulator.Server
	list      []emulator.Instance
}

// standsSpec says what the stand-ins are to be.
type standsSpec struct {
	limiters int // ports of discovery and the counter, one for each limiter
	servers  int // entries of the list
	work     time.Duration
	counter  []emulator.Fault // the counter's script
	tallied  func(emulator.Tally)
	handled  func(emulator.Handled)
	whole    bool // a watch is answered with the whole list, else with the changed entries
}

// newStands starts the stand-ins; the caller closes them.
func newStands(spec standsSpec) (s *stands, err error) {
	s = &stands{clock: history.NewClock(), book: &history.Recorder{}}
	defer func() {
		if err != nil {
			s.close()
		}
	}()
	var addresses []string
	for i := range min(listeners, spec.servers) {
		server := emulator.NewServer(
			emulator.ServerSpec{Name: fmt.Sprint("listener", i), Zone: zoneNames[0], Work: spec.work,
				Warm: true, Seed: uint64(i)},
			s.clock,
			s.book,
			nil,
		)
		if spec.handled != nil {
			server.Observe(spec.handled)
		}
		if err := server.Start(); err != nil {
			return nil, err
		}
		s.servers = append(s.servers, server)
		addresses = append(addresses, server.Address())
	}
	s.list = instances(spec.servers, addresses)
	s.discovery, err = emulator.NewDiscovery(s.clock, s.book, nil, spec.limiters)
	if err != nil {
		return nil, err
	}
	if !spec.whole {
		s.discovery.TellChanges()
	}
	s.discovery.SetAll(s.list)
	err = s.discovery.Start()
	if err != nil {
		return nil, err
	}
	s.counter = emulator.NewCounter(s.clock, s.book, spec.counter, spec.limiters)
	if spec.tallied != nil {
		s.counter.Observe(spec.tallied)
	}
	return s, s.counter.Start()
}

func (s *stands) close() {
	if s.discovery != nil {
		s.discovery.Close()
	}
	if s.counter != nil {
		s.counter.Close()
	}
	for _, server := range s.servers {
		server.Close()
	}
}

// known is the present list as a configuration holds it.
func (s *stands) known() []byte {
	text, err := json.Marshal(s.discovery.Whole(0))
	if err != nil {
		panic(err) // strings and numbers alone
	}
	return text
}

// traffic is what has crossed the control connections of all limiters since the start.
type traffic struct {
	discoveryCalls, discoveryBytes float64
	counterCalls, counterBytes     float64
}

func (s *stands) traffic() traffic {
	d := &s.discovery.Traffic
	k := &s.counter.Traffic
	return traffic{float64(d.Calls.Load()), float64(d.Received.Load() + d.Sent.Load()),
		float64(k.Calls.Load()), float64(k.Received.Load() + k.Sent.Load())}
}

// since is what has crossed since an earlier time.
func (t traffic) since(o traffic) traffic {
	return traffic{t.discoveryCalls - o.discoveryCalls, t.discoveryBytes - o.discoveryBytes,
		t.counterCalls - o.counterCalls, t.counterBytes - o.counterBytes}
}

// messages are calls and their answers.
func (t traffic) messages() float64 { return 2 * (t.discoveryCalls + t.counterCalls) }

func (t traffic) bytes() float64 { return t.discoveryBytes + t.counterBytes }

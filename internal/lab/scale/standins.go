package scale

import (
	"encoding/json"
	"fmt"
	"time"

	"ospreycroft/internal/lab/emulator"
	"ospreycroft/internal/lab/history"
)

// listenerCount is the number of listeners that the servers of a list share.
const listenerCount = 64

// standIns are the stand-ins of one run: discovery, the counter, and a few listeners that serve for all servers on
// the list.
type standIns struct {
	clock     *history.Clock
	recorder  *history.Recorder
	discovery *emulator.Discovery
	counter   *emulator.Counter
	servers   []*emulator.Server
	list      []emulator.Instance
}

// standInsSpec configures the stand-ins.
type standInsSpec struct {
	limiters      int // number of ports of discovery and of the counter, one per limiter
	servers       int // number of servers on the list
	serviceTime   time.Duration
	counterFaults []emulator.Fault // faults that the counter plays
	onTally       func(emulator.CounterCall)
	onHandled     func(emulator.ServedCommand)
	wholeList     bool // answer a poll with the whole list, not the changed entries alone
}

// newStandIns starts the stand-ins. The caller closes them.
func newStandIns(spec standInsSpec) (s *standIns, err error) {
	s = &standIns{clock: history.NewClock(), recorder: &history.Recorder{}}
	defer func() {
		if err != nil {
			s.close()
		}
	}()
	var addresses []string
	for i := range min(listenerCount, spec.servers) {
		server := emulator.NewServer(
			emulator.ServerSpec{Name: fmt.Sprint("listener", i), Zone: zoneNames[0], Work: spec.serviceTime,
				Warm: true, Seed: uint64(i)},
			s.clock,
			s.recorder,
			nil,
		)
		if spec.onHandled != nil {
			server.Observe(spec.onHandled)
		}
		if err := server.Start(); err != nil {
			return nil, err
		}
		s.servers = append(s.servers, server)
		addresses = append(addresses, server.Address())
	}
	s.list = newInstances(spec.servers, addresses)
	s.discovery, err = emulator.NewDiscovery(s.clock, s.recorder, nil, spec.limiters)
	if err != nil {
		return nil, err
	}
	if !spec.wholeList {
		s.discovery.SendDeltas()
	}
	s.discovery.SetAll(s.list)
	err = s.discovery.Start()
	if err != nil {
		return nil, err
	}
	s.counter = emulator.NewCounter(s.clock, s.recorder, spec.counterFaults, spec.limiters)
	if spec.onTally != nil {
		s.counter.Observe(spec.onTally)
	}
	return s, s.counter.Start()
}

func (s *standIns) close() {
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

// encodedList returns the current list in the form of a configuration's known list.
func (s *standIns) encodedList() []byte {
	text, err := json.Marshal(s.discovery.FullList(0))
	if err != nil {
		panic(err) // impossible: the list holds strings and numbers only
	}
	return text
}

// traffic counts the calls and bytes that crossed the control connections of all limiters.
type traffic struct {
	discoveryCalls, discoveryBytes float64
	counterCalls, counterBytes     float64
}

func (s *standIns) traffic() traffic {
	discovery := &s.discovery.Traffic
	counter := &s.counter.Traffic
	return traffic{float64(discovery.Calls.Load()), float64(discovery.Received.Load() + discovery.Sent.Load()),
		float64(counter.Calls.Load()), float64(counter.Received.Load() + counter.Sent.Load())}
}

// since returns the traffic after an earlier reading.
func (t traffic) since(earlier traffic) traffic {
	return traffic{t.discoveryCalls - earlier.discoveryCalls, t.discoveryBytes - earlier.discoveryBytes,
		t.counterCalls - earlier.counterCalls, t.counterBytes - earlier.counterBytes}
}

// messages counts calls and their answers.
func (t traffic) messages() float64 { return 2 * (t.discoveryCalls + t.counterCalls) }

func (t traffic) bytes() float64 { return t.discoveryBytes + t.counterBytes }

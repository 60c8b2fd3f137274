package scale

import (
	"encoding/json"
	"fmt"

	"ospreycroft/internal/lab/emulator"
)

// zoneNames are the zones of the fleet, two in each region.
var zoneNames = [Zones]string{"east-1", "east-2", "west-1", "west-2"}

// The request that every experiment sends.
const (
	className     = "fetch"
	planName      = "plain"
	requestUnits  = 1    // units that a request takes
	requestSpread = 8    // limiters that share the customer
	requestBudget = 2500 // milliseconds until the client's deadline
)

// limiterSettings returns the settings of one limiter of a fleet of 550, as its configuration holds them. The plan's
// rate admits every request of a run, and a customer's state is kept for 30 s after its last request.
func limiterSettings(position int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"balancers":%d,"position":%d,
"classes":[{"name":"fetch","aim":0.8,"deadline":2.5,"effect":"free","group":"all"},
 {"name":"order","aim":2.0,"deadline":8.0,"effect":"single_shot","group":"all"}],
"tariffs":[{"name":"plain","rate":1000,"most-at-once":2000,"value-factor":1.0,"beyond-costs":0.5}],
"family-info":{"has-counter":true,"count-wait":0.05,"units-top":6},
"contract":{"cold-from":0.25,"warm-within":15.0,"stop-sending-within":0.25},
"permissions":{"attempts-cap":3,"cancelling":true,"dial-timeout":0.25,"idle-close":15.0,"max-retry-after":2.0,
 "probes":false,"retry-after":true,"second-copies":false},
"granularity":0.004}`, Limiters, position))
}

// limiterConfig is the configuration file of one limiter.
type limiterConfig struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Counter   string          `json:"counter"`
	Seed      string          `json:"seed"`
	Limits    limits          `json:"limits"`
	Known     json.RawMessage `json:"known,omitempty"`
	Settings  json.RawMessage `json:"settings"`
}

type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// newLimiterConfig returns the configuration of limiter n. The addresses are those of its own listener, of discovery
// and of the counter; known is the endpoint list to begin with, or nil for none.
func newLimiterConfig(n int, listen, discovery, counter string, sockets int, known []byte) limiterConfig {
	return limiterConfig{Name: fmt.Sprintf("n%d", n), Listen: listen, Discovery: discovery, Counter: counter,
		Seed: fmt.Sprintf("%016x", 0x51ca1e+uint64(n)*0x9e3779b97f4a7c15), Known: known, Settings: limiterSettings(n),
		Limits: limits{Cores: 1, MemoryMB: 128, Sockets: sockets}}
}

// encodeConfig encodes a configuration as the file's JSON.
func encodeConfig(config limiterConfig) ([]byte, error) { return json.Marshal(config) }

// newInstances returns a list of n servers spread over the four zones. The servers share the given addresses in turn,
// so that a few listeners can serve thousands of servers.
func newInstances(n int, addresses []string) []emulator.Instance {
	list := make([]emulator.Instance, n)
	for i := range list {
		list[i] = emulator.Instance{
			ID:        fmt.Sprintf("s-%08x", uint32(i)*2654435761),
			HostPort:  addresses[i%len(addresses)],
			Zone:      zoneNames[i%Zones],
			Machine:   "m2",
			Cell:      i % 32,
			Lifecycle: "in_service",
			Weight:    1,
		}
	}
	return list
}

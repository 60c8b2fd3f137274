package scale

// The size to design for. Regions hold two zones each here: four zones in all.
const (
	Limiters       = 550
	Servers        = 8500
	Services       = 420
	PeakRequests   = 68000 // a second
	Routes         = 8900
	Tenants        = 28000
	Regions        = 2
	Zones          = 4
	ChangesADay    = 440   // of the configuration
	RestartsADay   = 3500  // of servers
	AddedMs        = 6.1   // at the 99th percentile
	ControlCore    = 0.029 // of a core, of one limiter
	ControlMemory  = 128e6 // bytes, of one limiter
	ControlTraffic = 29e3  // bytes a second, of one limiter
	ChangeWithin   = 18.0  // seconds from a change of the configuration until all limiters go by it
	Machines       = 4     // set aside for control
)

// Reckoned figures follow from the size alone.
const (
	// RequestsOfOne is one limiter's even share of the peak, requests a second.
	RequestsOfOne = float64(PeakRequests) / Limiters
	// entriesOfRestart is how often a planned restart changes a server's entry: draining, gone, back.
	entriesOfRestart = 3 // changes
)

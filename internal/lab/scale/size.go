package scale

// The size to design for. Regions hold two zones each here: four zones in all.
const (
	Limiters              = 550
	Servers               = 8500
	Services              = 420
	PeakRequests          = 68000 // a second
	Routes                = 8900
	Customers             = 28000
	Regions               = 2
	Zones                 = 4
	ConfigChangesPerDay   = 440   // of the configuration
	RestartsPerDay        = 3500  // of servers
	AddedLatencyMs        = 6.1   // at the 99th percentile
	ControlCore           = 0.029 // of a core, of one limiter
	ControlMemoryBytes    = 128e6 // bytes, of one limiter
	ControlBytesPerSecond = 29e3  // bytes a second, of one limiter
	MaxChangeSeconds      = 18.0  // seconds from a change of the configuration until all limiters go by it
	ControlMachines       = 4     // set aside for control
)

// Reckoned figures follow from the size alone.
const (
	// RequestsPerLimiter is one limiter's even share of the peak, requests a second.
	RequestsPerLimiter = float64(PeakRequests) / Limiters
	// changesPerRestart is how often a planned restart changes a server's entry: draining, gone, back.
	changesPerRestart = 3 // changes
)

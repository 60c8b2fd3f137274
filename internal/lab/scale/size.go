package scale

// The fleet size to design for: two regions with two zones each.
const (
	Limiters              = 550
	Servers               = 8500
	Services              = 420
	PeakRequests          = 68000 // requests per second
	Routes                = 8900
	Customers             = 28000
	Regions               = 2
	Zones                 = 4
	ConfigChangesPerDay   = 440   // changes of the configuration
	RestartsPerDay        = 3500  // restarts of servers
	AddedLatencyMs        = 6.1   // ms that a limiter adds to a request, 99th percentile
	ControlCore           = 0.029 // share of a core that one limiter spends on control work
	ControlMemoryBytes    = 128e6 // memory of one limiter
	ControlBytesPerSecond = 29e3  // control traffic of one limiter
	MaxChangeSeconds      = 18.0  // from a change of the configuration until all limiters apply it
	ControlMachines       = 4     // machines set aside for the control plane
)

// Figures derived from the size alone.
const (
	// RequestsPerLimiter is one limiter's even share of the peak, in requests per second.
	RequestsPerLimiter = float64(PeakRequests) / Limiters
	// changesPerRestart is how often a planned restart changes a server's entry: draining, gone, back.
	changesPerRestart = 3 // changes
)

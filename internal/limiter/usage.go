package limiter

// Usage is how much state a limiter holds. Each part grows with what peers send, so an operator can tell from it which of
// them takes the memory.
type Usage struct {
	Accounts    int   // customers whose accounts the controller holds
	Requests    int   // requests that are not forgotten yet
	Timers      int   // pending timers
	Connections int   // connections of all kinds of peers, open or being dialled
	InputBytes  int64 // capacity of all input buffers, bytes
}

// Usage returns how much state the limiter holds now.
func (l *Limiter) Usage() Usage {
	return Usage{
		Accounts: l.controller.AccountUsage().Held, Requests: len(l.requests.byID), Timers: len(l.timers.heap),
		Connections: len(l.conns), InputBytes: l.bufferedBytes,
	}
}

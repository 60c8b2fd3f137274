package distribution

// RelayOptions configure a Relay.
type RelayOptions struct {
	Name      string
	Retention Retention
	Budget    Budget
	// UnconfirmedAfter has the same meaning as SubscriberOptions.UnconfirmedAfter.
	UnconfirmedAfter int64
}

// Relay subscribes to all entries of a source and serves other subscribers from its own log. While it cannot reach the
// source it continues to serve; the Age of its answers then grows. It accepts no writes. It is not safe for concurrent
// use.
type Relay struct {
	*Subscriber
	logServer
	acks ackTable
	name string
}

// NewRelay returns a relay that has no version yet.
func NewRelay(now int64, options RelayOptions) *Relay {
	r := &Relay{logServer: newLogServer(NewLog(options.Retention), options.Budget),
		acks: newAckTable(), name: options.Name}
	r.Subscriber = NewSubscriber(now, SubscriberOptions{Name: options.Name, Applier: logApplier{r.log},
		UnconfirmedAfter: options.UnconfirmedAfter, PieceBytes: MaxPieceBytes})
	return r
}

// logApplier applies updates to the log of a relay.
type logApplier struct{ log *Log }

func (f logApplier) Apply(update *Update) error {
	f.log.applyUpdate(update)
	return nil
}

// Changes implements Server.
func (r *Relay) Changes(now int64, request ChangesRequest) (*Delta, error) {
	return r.changes(r.age(now), request)
}

// Piece implements Server.
func (r *Relay) Piece(now int64, request PieceRequest) (*Piece, error) {
	return r.piece(now, r.age(now), request)
}

// Acknowledge implements Server.
func (r *Relay) Acknowledge(now int64, a Acknowledgement) error { return r.acks.record(now, a) }

// Summary returns the summary that the relay sends to the source.
func (r *Relay) Summary(now int64) Summary {
	s := r.acks.summarize(now, r.name)
	s.Version, s.Age = r.Version(), r.age(now)
	return s
}

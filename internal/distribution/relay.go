package distribution

// RelayOptions are what a relay is made of.
type RelayOptions struct {
	Name      string
	Retention Retention
	Budget    Budget
	// UnconfirmedAfter is as in SubscriberOptions.
	UnconfirmedAfter int64
}

// Relay follows a source as a subscriber to everything, and serves subscribers from its own log. While it is cut off
// from the source it goes on serving, with answers that tell its age. It takes no writes. It is not safe for
// concurrent use.
type Relay struct {
	*Subscriber
	logServer
	acks ackTable
	name string
}

// NewRelay makes a relay that has no version.
func NewRelay(now int64, options RelayOptions) *Relay {
	r := &Relay{logServer: newLogServer(NewLog(options.Retention), options.Budget), acks: newAckTable(), name: options.Name}
	r.Subscriber = NewSubscriber(now, SubscriberOptions{Name: options.Name, Applier: logApplier{r.log},
		UnconfirmedAfter: options.UnconfirmedAfter, PieceBytes: MaxPieceBytes})
	return r
}

// logApplier puts updates in a relay's log.
type logApplier struct{ log *Log }

func (f logApplier) Apply(update *Update) error {
	f.log.applyUpdate(update)
	return nil
}

// Changes is a method of Server.
func (r *Relay) Changes(now int64, request ChangesRequest) (*Delta, error) {
	return r.changes(r.age(now), request)
}

// Piece is a method of Server.
func (r *Relay) Piece(now int64, request PieceRequest) (*Piece, error) {
	return r.piece(now, r.age(now), request)
}

// Acknowledge is a method of Server.
func (r *Relay) Acknowledge(now int64, a Acknowledgement) error { return r.acks.record(now, a) }

// Summary is what the relay tells the source.
func (r *Relay) Summary(now int64) Summary {
	s := r.acks.summarize(now, r.name)
	s.Version, s.Age = r.Version(), r.age(now)
	return s
}

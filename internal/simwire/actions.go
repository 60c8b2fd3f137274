package simwire

import "ospreycroft/choice"

// reply is the answer to a batch.
type reply struct {
	Batch  int64    `json:"batch"`
	Output []action `json:"output"`
}

// action is a command of the controller to the simulator. Times are seconds.
type action struct {
	Type     string   `json:"type"`
	Limiter  int64    `json:"limiter"`
	Handle   string   `json:"handle,omitempty"` // request ID
	Server   string   `json:"server,omitempty"`
	Copy     *int     `json:"copy,omitempty"`     // attempt number
	HoldOff  float64  `json:"hold-off,omitempty"` // Retry-After
	DueAt    *float64 `json:"due-at,omitempty"`   // time of a timer
	Ctx      *int64   `json:"ctx,omitempty"`      // timer token
	Name     *uint64  `json:"name,omitempty"`     // name on the shared counter
	Amount   *float64 `json:"amount,omitempty"`   // units to add
	Lifetime float64  `json:"lifetime,omitempty"` // of the name on the counter
	Text     string   `json:"note-text,omitempty"`
}

// write appends an action of this instance to the reply.
func (in *instance) write(a action) {
	a.Limiter = in.id
	in.host.output = append(in.host.output, a)
}

// Send writes relay.
func (in *instance) Send(request, server string) {
	in.write(action{Type: "relay", Handle: request, Server: server})
}

// Cancel writes undo-send.
func (in *instance) Cancel(request string, attempt int) {
	in.write(action{Type: "undo-send", Handle: request, Copy: &attempt})
}

// Reject writes shed.
func (in *instance) Reject(request string, retryAfter int64, _ choice.RejectReason) {
	in.write(action{Type: "shed", Handle: request, HoldOff: seconds(retryAfter)})
}

// Fail writes respond-error.
func (in *instance) Fail(request string) {
	in.write(action{Type: "respond-error", Handle: request})
}

// AddToCounter writes charge-counter.
func (in *instance) AddToCounter(name uint64, amount float64, lifetime int64) {
	in.write(action{Type: "charge-counter", Name: &name, Amount: &amount, Lifetime: seconds(lifetime)})
}

// HealthCheck writes poll.
func (in *instance) HealthCheck(server string) {
	in.write(action{Type: "poll", Server: server})
}

// SetTimer writes set-timer.
func (in *instance) SetTimer(at, token int64) {
	due := seconds(at)
	in.write(action{Type: "set-timer", DueAt: &due, Ctx: &token})
}

// StopTimer does nothing: the wire has no action for it, and a timer of an ended request does nothing when it fires.
func (in *instance) StopTimer(int64) {}

// Log writes note-down.
func (in *instance) Log(text string) {
	in.write(action{Type: "note-down", Text: text})
}

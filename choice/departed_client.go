package choice

// maxUnreadForSend is how long a client's connection may have had unread bytes when an attempt for it begins, nanoseconds.
// The client may have closed its connection behind them; no attempt may begin 0.1 s after that, which this halves for the
// time until the attempt is written.
const maxUnreadForSend = 50e6

// MayBeSentFor reports whether a request may be sent to a server although bytes that its client has sent behind it have
// been unread for so long. One that may not is answered at once; a usual client waits for its answer and sends nothing.
func MayBeSentFor(unreadFor int64) bool { return unreadFor <= maxUnreadForSend }

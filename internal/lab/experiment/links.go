package experiment

import (
	"fmt"
	"slices"
	"strings"

	"ospreycroft/internal/lab/emulator"
	"ospreycroft/internal/lab/faultproxy"
)

// The kinds of peer at the other end of a limiter's link.
const (
	PeerClient    = "client"
	PeerDiscovery = "discovery"
	PeerCounter   = "counter"
	PeerPool      = "pool" // all servers of a pool
	PeerServer    = "server"
)

// LinkPeer is the other end of the limiter links that a fault names. The target is "link:client-limiter:2" for links
// from clients to limiters, and "link:limiter:*-pool:hall1" or alike for links from limiters to discovery, the counter,
// the servers of a pool or one server. Servers that are added to the pool later are included.
type LinkPeer struct {
	Kind string // one of the constants above
	Name string // of the pool or the server; empty for other kinds
}

// fileKeys maps the keys in errors of faultproxy to the file's keys.
var fileKeys = map[string]string{
	"kind":  "kind",
	"from":  "from",
	"until": "until",
	"share": "connections",
	"delay": "factor",
}

// checkLinkFault parses text, the part of a link fault's target after "link:", and checks the fault.
func (e *Experiment) checkLinkFault(f *Fault, text string, pools map[string]bool) (err error) {
	bad := &emulator.FaultError{
		Key: "target",
		Why: fmt.Sprintf("%q is not a link: limiter:WHICH-discovery, -counter, -pool:NAME or "+
			"-server:NAME, or client-limiter:WHICH", text),
	}
	near, far, _ := strings.Cut(text, "-")
	numbers, isLimiter := strings.CutPrefix(near, "limiter:")
	if near == PeerClient {
		numbers, isLimiter = strings.CutPrefix(far, "limiter:")
		f.Link = &LinkPeer{Kind: PeerClient}
	} else {
		kind, name, _ := strings.Cut(far, ":")
		f.Link = &LinkPeer{Kind: kind, Name: name}
		pool, _, _ := strings.Cut(name, "-")
		switch {
		case kind == PeerDiscovery && name == "", kind == PeerPool && pools[name], kind == PeerServer && pools[pool]:
		case kind == PeerCounter && name == "":
			if !e.Counter.On {
				return &emulator.FaultError{Key: "target", Why: "the experiment has no counter"}
			}
		default:
			return bad
		}
	}
	if !isLimiter {
		return bad
	}
	f.Limiters, err = parseLimiters(numbers, e.Limiters.Count)
	if err != nil {
		return err
	}
	if f.Share < 0 || f.Share > 1 {
		return &emulator.FaultError{Key: "share", Why: fmt.Sprintf("%v is not within 0 to 1", f.Share)}
	}
	return f.linkFault().Check()
}

// linkFault converts f to the fault proxy's form. Factor is the delay in milliseconds.
func (f *Fault) linkFault() faultproxy.Fault {
	return faultproxy.Fault{
		Kind:  f.Kind,
		From:  Nanos(f.From),
		Until: Nanos(f.Until),
		Share: f.Connections,
		Delay: int64(f.Factor * 1e6),
	}
}

// LinkFaults returns the faults of the link between a limiter and a peer. For a server, name is the server's name and
// pool that of its pool; for other kinds both are empty. Faults with a Share affect only the limiters that the seed
// selects.
func (e *Experiment) LinkFaults(limiter int, kind, pool, name string) []faultproxy.Fault {
	var out []faultproxy.Fault
	for i, f := range e.Faults {
		if f.Link == nil {
			continue
		}
		matches := f.Link.Kind == kind && f.Link.Name == name ||
			kind == PeerServer && f.Link.Kind == PeerPool && f.Link.Name == pool
		if order, size := e.drawLimiters(i); matches && slices.Contains(order[:size], limiter) {
			out = append(out, f.linkFault())
		}
	}
	return out
}

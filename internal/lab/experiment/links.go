package experiment

import (
	"fmt"
	"slices"
	"strings"

	"ospreycroft/internal/lab/emulator"
	"ospreycroft/internal/lab/faultproxy"
)

// The parties that a link can have beside limiters.
const (
	Clients   = "client"
	Discovery = "discovery"
	Counting  = "counter"
	Pools     = "pool"
	Servers   = "server"
)

// LinkPeer are the links that a fault names: from clients to limiters ("link:client-limiter:2"), or from limiters to
// discovery, the counter, a pool's servers or one server ("link:limiter:*-pool:hall1"). Servers that a pool gets later
// are among them.
type LinkPeer struct {
	Kind string
	Name string // of the pool or the server
}

// fileKeys are the file's names of a link fault's keys.
var fileKeys = map[string]string{
	"kind":  "kind",
	"from":  "from",
	"until": "until",
	"share": "connections",
	"delay": "factor",
}

func (e *Experiment) checkLinkFault(f *Fault, text string, pools map[string]bool) (err error) {
	bad := &emulator.FaultError{
		Key: "target",
		Why: fmt.Sprintf("%q is no link: limiter:WHICH-discovery, -counter, -pool:NAME or "+
			"-server:NAME, or client-limiter:WHICH", text),
	}
	near, far, _ := strings.Cut(text, "-")
	numbers, isLimiter := strings.CutPrefix(near, "limiter:")
	if near == Clients {
		numbers, isLimiter = strings.CutPrefix(far, "limiter:")
		f.Link = &LinkPeer{Kind: Clients}
	} else {
		kind, name, _ := strings.Cut(far, ":")
		f.Link = &LinkPeer{Kind: kind, Name: name}
		pool, _, _ := strings.Cut(name, "-")
		switch {
		case kind == Discovery && name == "", kind == Pools && pools[name], kind == Servers && pools[pool]:
		case kind == Counting && name == "":
			if !e.Counter.On {
				return &emulator.FaultError{Key: "target", Why: "there is no counter"}
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

// linkFault is a linkFault fault in the linkFault's own form: the factor is the delay in milliseconds.
func (f *Fault) linkFault() faultproxy.Fault {
	return faultproxy.Fault{
		Kind:  f.Kind,
		From:  Nanos(f.From),
		Until: Nanos(f.Until),
		Share: f.Connections,
		Delay: int64(f.Factor * 1e6),
	}
}

// Script is the script of the link between a limiter and a party: for Servers, name is a server's and pool its pool's.
// It is empty where no fault names the link, or the seed draws other limiters.
func (e *Experiment) Script(limiter int, kind, pool, name string) []faultproxy.Fault {
	var out []faultproxy.Fault
	for i, f := range e.Faults {
		if f.Link == nil {
			continue
		}
		matches := f.Link.Kind == kind && f.Link.Name == name ||
			kind == Servers && f.Link.Kind == Pools && f.Link.Name == pool
		if order, size := e.drawLimiters(i); matches && slices.Contains(order[:size], limiter) {
			out = append(out, f.linkFault())
		}
	}
	return out
}

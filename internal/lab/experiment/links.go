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

// Ends are the links that a fault names: from clients to limiters ("link:client-limiter:2"), or from limiters to
// discovery, the counter, a pool's servers or one server ("link:limiter:*-pool:hall1"). Servers that a pool gets later
// are among them.
type Ends struct {
	Party string
	Name  string // of the pool or the server
}

// fileKeys are the file's names of a link fault's keys.
var fileKeys = map[string]string{
	"kind":  "kind",
	"from":  "from",
	"until": "until",
	"share": "connections",
	"delay": "factor",
}

func (e *Experiment) checkLink(f *Fault, text string, pools map[string]bool) (err error) {
	bad := &emulator.FaultError{
		Key: "target",
		Why: fmt.Sprintf("%q is no link: limiter:WHICH-discovery, -counter, -pool:NAME or "+
			"-server:NAME, or client-limiter:WHICH", text),
	}
	near, far, _ := strings.Cut(text, "-")
	which, of := strings.CutPrefix(near, "limiter:")
	if near == Clients {
		which, of = strings.CutPrefix(far, "limiter:")
		f.Link = &Ends{Party: Clients}
	} else {
		party, name, _ := strings.Cut(far, ":")
		f.Link = &Ends{Party: party, Name: name}
		pool, _, _ := strings.Cut(name, "-")
		switch {
		case party == Discovery && name == "", party == Pools && pools[name], party == Servers && pools[pool]:
		case party == Counting && name == "":
			if !e.Counter.On {
				return &emulator.FaultError{Key: "target", Why: "there is no counter"}
			}
		default:
			return bad
		}
	}
	if !of {
		return bad
	}
	f.Limiters, err = limitersOf(which, e.Limiters.Count)
	if err != nil {
		return err
	}
	if f.Share < 0 || f.Share > 1 {
		return &emulator.FaultError{Key: "share", Why: fmt.Sprintf("%v is not within 0 to 1", f.Share)}
	}
	return f.link().Check()
}

// link is a link fault in the link's own form: the factor is the delay in milliseconds.
func (f *Fault) link() faultproxy.Fault {
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
func (e *Experiment) Script(limiter int, party, pool, name string) []faultproxy.Fault {
	var out []faultproxy.Fault
	for i, f := range e.Faults {
		if f.Link == nil {
			continue
		}
		same := f.Link.Party == party && f.Link.Name == name ||
			party == Servers && f.Link.Party == Pools && f.Link.Name == pool
		if order, size := e.drawn(i); same && slices.Contains(order[:size], limiter) {
			out = append(out, f.link())
		}
	}
	return out
}

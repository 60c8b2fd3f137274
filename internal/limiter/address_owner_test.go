package limiter

import (
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// entry returns the entry of a server at the address of knownList's.
func entry(id, started string) string {
	return `{"instanceId":"` + id + `","hostPort":"127.0.0.1:9","lifecycle":"in_service","weight":1,"startedAtMs":` + started + `}`
}

// TestServerAtAddressOfAnother guards against work for a server that is gone which reaches another process at its address.
func TestServerAtAddressOfAnother(t *testing.T) {
	for _, c := range []struct {
		name, list string
		want       []string // the servers that requests may go to
	}{
		{"only the new server is listed", `{"generation":8,"instances":[` + entry("t", "0") + `]}`, []string{"t"}},
		{"the new one has started later",
			`{"generation":8,"reset":true,"instances":[` + entry("t", "1") + "," + entry("s", "0") + `]}`, []string{"t"}},
		{"the new one is listed behind the old one",
			`{"generation":8,"reset":true,"instances":[` + entry("s", "0") + "," + entry("t", "1") + `]}`, []string{"t"}},
		{"an earlier server is listed again", `{"generation":8,"instances":[` + entry("s", "2") + "," + entry("t", "1") + `]}`,
			[]string{"s"}},
		{"it is not known which one is gone",
			`{"generation":8,"reset":true,"instances":[` + entry("s", "0") + "," + entry("t", "0") + `]}`, []string{"s", "t"}},
		{"the new one drains", strings.Replace(`{"generation":8,"instances":[`+entry("t", "1")+`]}`, "in_service",
			"terminating", 1), []string{"s"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, w, id := requestDialling(t, "write")
			w.receive(l, 0, discoveryConn, httpAnswer(c.list))
			require.Equal(t, !slices.Contains(c.want, "s"), slices.Contains(w.closed, id), "the connection being dialled")
			var usable []string
			for _, pool := range l.servers.pools {
				if !pool.draining {
					usable = append(usable, pool.id)
				}
			}
			slices.Sort(usable)
			require.Equal(t, c.want, usable)
			for _, class := range l.settings.Classes {
				class.PriorityWeight = 1
			}
			sent := 0
			for _, request := range []string{"k0", "k1", "k2"} {
				l.settings.CounterTimeout = 0 // each request is sent as soon as it is read
				w.receive(l, 0, clientConn, command(request, "read", "480"))
				if req := l.requests.byID[request]; req != nil { // others are rejected for want of capacity
					require.Contains(t, c.want, req.attempts[0].conn.pool.id)
					sent++
				}
			}
			require.Positive(t, sent, w.wrote[clientConn])
		})
	}
}

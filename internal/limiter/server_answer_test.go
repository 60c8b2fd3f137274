package limiter

import (
	"strconv"
	"strings"
	"testing"

	"ospreycroft/choice"
	"ospreycroft/internal/resp"
)

// TestDecodeAnswer checks the outcome, units and load report of answers. Invalid and unknown fields are ignored.
func TestDecodeAnswer(t *testing.T) {
	for _, c := range []struct {
		in                          string
		outcome                     choice.Outcome
		units, inFlight, throughput float64
	}{
		{"*3\r\n$1\r\nv\r\n$14\r\nused=86,cost=3\r\n$-1\r\n", choice.Succeeded, 3, 0, 0},
		{"*3\r\n$1\r\nv\r\n$8\r\ncost=Inf\r\n$-1\r\n", choice.Succeeded, 0, 0, 0},
		{"*3\r\n$1\r\nv\r\n$10\r\ncost=1e300\r\n$-1\r\n", choice.Succeeded, 0, 0, 0},
		{"*3\r\n$1\r\nv\r\n$7\r\ncost=-3\r\n$-1\r\n", choice.Succeeded, 0, 0, 0},
		{"*3\r\n$1\r\nv\r\n$-1\r\n$10\r\ninflight=1\r\n", choice.Succeeded, 0, 0, 0},
		{"*3\r\n$1\r\nv\r\n$-1\r\n$32\r\nthroughput=4.397,outstanding=250\r\n", choice.Succeeded, 0, 250, 4.397},
		{"*3\r\n$1\r\nv\r\n$-1\r\n$31\r\nthroughput=4.397,outstanding=2.\r\n", choice.Succeeded, 0, 2, 4.397},
		{"*3\r\n$1\r\nv\r\n$-1\r\n$29\r\nthroughput=-1,outstanding=NaN\r\n", choice.Succeeded, 0, 0, 0},
		{"*3\r\n$1\r\nv\r\n$-1\r\n$46\r\nbacklog=3,throughput=2.5000,recent_ms=135.5000\r\n", choice.Succeeded, 0, 0, 2.5},
		{"-BUSY inflight=7\r\n", choice.Overloaded, 0, 0, 0},
		{"-BUSYBODY\r\n", choice.ServerError, 0, 0, 0},
		{"-ERR failed inflight=7\r\n", choice.ServerError, 0, 0, 0},
	} {
		t.Run(strconv.Quote(c.in), func(t *testing.T) {
			v, _, err := resp.ReadReply([]byte(c.in))
			r, _ := decodeAnswer(v, 8)
			if err != nil || r.Outcome != c.outcome || r.ActualUnits != c.units || r.Load.InFlight != c.inFlight ||
				r.Load.Throughput != c.throughput ||
				strings.Contains(c.in, "backlog") && (r.Load.Queued != 3 || r.Load.ServiceTime != 135500000) {
				t.Fatalf("%+v, error %v", r, err)
			}
		})
	}
}

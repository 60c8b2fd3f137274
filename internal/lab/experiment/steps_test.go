package experiment

import (
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// parseWithFault parses the default experiment with count limiters and one more fault.
func parseWithFault(t *testing.T, count, fault string) (*Experiment, error) {
	t.Helper()
	return Parse(
		strings.Replace(defaultText(t), "[limiters]\ncount = 3", "[limiters]\ncount = "+count, 1) +
			"\n[[faults]]\n" + fault,
	)
}

// With Every, each step affects Share of the limiters until each has been affected once, and until moves along with the
// step. Without it there is one step.
func TestStepsHitShareOfLimitersEach(t *testing.T) {
	e, err := parseWithFault(t, "30",
		"kind='term'\ntarget='limiter:*'\nfrom=2.0\nuntil=3.0\nshare=0.1\nevery=1.5\ndelay=0.5")
	require.NoError(t, err)
	steps := e.Steps(len(e.Faults) - 1)
	seen := map[int]bool{}
	for k, s := range steps {
		want := int64(2e9) + int64(k)*int64(1.5e9)
		assert.True(t, s.At == want && s.Until == want+1e9 && len(s.Limiters) == 3, "step %d: %+v", k, s)
		for _, n := range s.Limiters {
			seen[n] = true
		}
	}
	require.True(t, len(steps) == 10 && len(seen) == 30, "%d steps, %d limiters", len(steps), len(seen))
	once, err := parseWithFault(t, "30", "kind='kill'\ntarget='limiter:10..19'\nfrom=2.0\nshare=0.7")
	require.NoError(t, err)
	if got := once.Steps(len(once.Faults) - 1); len(got) != 1 || len(got[0].Limiters) != 7 || got[0].Until != 0 ||
		got[0].Limiters[0] < 10 || got[0].Limiters[6] > 19 {
		t.Fatalf("%+v", got)
	}
}

func TestInvalidFaultNamesItsKey(t *testing.T) {
	for _, c := range []struct{ fault, key string }{
		{"kind='kill'\ntarget='limiter:2..7'\nfrom=1.0", "target"},
		{"kind='kill'\ntarget='limiter:x'\nfrom=1.0", "target"},
		{"kind='drop'\ntarget='limiter:0'\nfrom=1.0", "kind"},
		{"kind='kill'\ntarget='limiter:0'\nfrom=2.0\nuntil=1.0", "until"},
		{"kind='term'\ntarget='limiter:*'\nfrom=1.0\nevery=1.0", "every"},
		{"kind='kill'\ntarget='limiter:*'\nfrom=1.0\nshare=1.5", "share"},
		{"kind='kill'\ntarget='limiter:0'\nfrom=1.0\ndelay=1.0", "delay"},
		{"kind='stop'\ntarget='limiter:0'\nfrom=1.0\nuntil=2.0\nold_list=true", "old_list"},
		{"kind='drain'\ntarget='pool:hall1'\nfrom=1.0\nevery=2.0", "every"},
		{"kind='drain'\ntarget='pool:hall9'\nfrom=1.0", "target"},
		{"kind='slow'\ntarget='counter'\nfrom=1.0", "factor"},
		{"kind='cut'\ntarget='link:limiter:0-hall1'\nfrom=1.0", "target"},
		{"kind='cut'\ntarget='link:limiter:0-pool:hall9'\nfrom=1.0", "target"},
		{"kind='cut'\ntarget='link:limiter:9-counter'\nfrom=1.0", "target"},
		{"kind='cut'\ntarget='link:client-counter'\nfrom=1.0", "target"},
		{"kind='drop'\ntarget='link:limiter:0-counter'\nfrom=1.0", "kind"},
		{"kind='slow'\ntarget='link:limiter:0-counter'\nfrom=1.0", "factor"},
		{"kind='cut'\ntarget='link:limiter:0-counter'\nfrom=1.0\nconnections=2.0", "connections"},
		{"kind='kill'\ntarget='limiter:0'\nfrom=1.0\nconnections=0.5", "connections"},
	} {
		_, err := parseWithFault(t, "3", c.fault)
		bad := (*EntryError)(nil)
		assert.True(t, errors.As(err, &bad) && bad.Key == "faults[6]."+c.key, "%q: got %v", c.fault, err)
	}
}

// A link fault applies only to the links that its target names, and with a share only to that share of their limiters.
func TestLinkFaultsHitOnlyNamedLinks(t *testing.T) {
	e, err := parseWithFault(t, "30", `kind="cut_from"
target="link:limiter:0..14-counter"
from=1.0
share=0.34
[[faults]]
kind="slow"
target="link:limiter:3-pool:hall2"
from=2.0
until=4.0
factor=20.0
[[faults]]
kind="stall"
target="link:limiter:*-server:hall1-0"
from=1.0
[[faults]]
kind="cut"
target="link:client-limiter:2"
from=1.0`)
	require.NoError(t, err)
	hit := 0
	for n := range 30 {
		if s := e.LinkFaults(n, PeerCounter, "", ""); len(s) > 0 {
			hit++
			assert.True(t, n <= 14 && s[0].Kind == "cut_from" && s[0].From == 1e9, "limiter %d: %+v", n, s)
		}
	}
	assert.True(t, hit == 5, "%d of 15 limiters affected, want a third", hit)
	slow := e.LinkFaults(3, PeerServer, "hall2", "hall2-r1")
	assert.True(t, len(slow) == 1 && slow[0].Delay == 20e6 && slow[0].Until == 4e9, "%+v", slow)
	for _, got := range [][]int{{len(e.LinkFaults(3, PeerServer, "hall1", "hall1-0")), 1},
		{len(e.LinkFaults(3, PeerServer, "hall1", "hall1-1")), 0}, {len(e.LinkFaults(2, PeerClient, "", "")), 1},
		{len(e.LinkFaults(3, PeerClient, "", "")), 0}, {len(e.LinkFaults(2, PeerDiscovery, "", "")), 0}} {
		assert.True(t, got[0] == got[1], "%d faults, want %d", got[0], got[1])
	}
}

package statefile

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/atomicfile"
	"ospreycroft/internal/distribution"
)

// TestLoadsFilesOfAnEarlierVersion checks that state files of earlier versions stay readable. The files in testdata
// were written by a source and a limiter of version f99e54e; a relay keeps no file.
func TestLoadsFilesOfAnEarlierVersion(t *testing.T) {
	plans := func(name, value string) distribution.Entry {
		return distribution.Entry{
			Key:   distribution.Key{Kind: distribution.KindPlans, Scope: "eu", Name: name},
			Value: value,
		}
	}
	discovery := distribution.Entry{Value: "127.0.0.1:18500",
		Key: distribution.Key{Kind: distribution.KindEndpoints, Name: distribution.EndpointDiscovery}}
	route := distribution.Entry{Key: distribution.Key{Kind: distribution.KindRoutes, Name: "fetch"}, Value: "pool-a"}
	for _, c := range []struct {
		subscriber, scope string
		entries           []distribution.Entry
	}{
		{"source", "", []distribution.Entry{discovery, plans("house", "rate=9"), plans("team", "rate=2"), route}},
		{"limiter-a", "endpoints,plans@eu", []distribution.Entry{discovery, plans("house", "rate=9"),
			plans("team", "rate=2")}},
	} {
		t.Run(c.subscriber, func(t *testing.T) {
			scope, err := distribution.ParseScope(c.scope)
			require.NoError(t, err)
			place := &Store{
				Dir:          "testdata",
				Installation: "east",
				Subscriber:   c.subscriber,
				Scope:        scope,
				MaxAge:       math.MaxInt64,
				Files:        atomicfile.Disk{},
			}
			loaded, err := place.Load(1)
			require.NoError(t, err)
			require.Equal(t, distribution.Version{Epoch: 1, Number: 4}, loaded.Version)
			require.Equal(t, c.entries, loaded.Entries)
		})
	}
}

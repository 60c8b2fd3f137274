package runner

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/lab/experiment"
	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/lab/mutants"
)

// coldFewExperiment returns the experiment of examples/lab/coldfew.toml with the given number of limiters.
func coldFewExperiment(t *testing.T, program string, limiters int) *experiment.Experiment {
	t.Helper()
	e := loadExample(t, "coldfew", program)
	return resize(t, e, limiters, e.Length)
}

// TestFewLimitersKeepSlowStartBudget guards against overloading cold servers when one or two limiters have to keep the
// slow-start budget alone, at a load of which an even share would crash a cold server. No server may get more than its
// budget in any two seconds, and most of the load must be served.
// Breaches of rule 4 are ignored, since it also counts the requests in progress at one instant: a cold server bears
// two, and requests that happen to take long exceed that at any rate.
func TestFewLimitersKeepSlowStartBudget(t *testing.T) {
	t.Parallel()
	program := buildLimiter(t)
	for _, limiters := range []int{1, 2} {
		t.Run(fmt.Sprint(limiters), func(t *testing.T) {
			t.Parallel()
			r, _ := runExperiment(t, coldFewExperiment(t, program, limiters))
			require.Empty(t, r.Run.OverloadCrashes)
			require.Empty(t, r.Failures)
			for _, breach := range r.Verdict.Breaches {
				require.Equal(t, 4, breach.Rule, "%+v", breach)
			}
			require.Greater(t, 4*r.Verdict.Outcomes[history.Succeeded], 3*len(r.Run.Requests))
		})
	}
}

// TestFewLimitersThatOverrunColdServersAreCaught runs a limiter that prefers new servers: the lab must record that it
// crashes a cold server.
func TestFewLimitersThatOverrunColdServersAreCaught(t *testing.T) {
	t.Parallel()
	e := coldFewExperiment(t, brokenLimiter(t, mutants.PreferCold), 1)
	e.Length = 3
	r, _ := runExperiment(t, e)
	require.NotEmpty(t, r.Run.OverloadCrashes)
	wantBreach(t, r, 4)
}

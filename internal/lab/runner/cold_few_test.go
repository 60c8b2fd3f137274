package runner

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/lab/experiment"
	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/lab/mutants"
)

// coldFewExperiment is the experiment of examples/lab/coldfew.toml with so many limiters.
func coldFewExperiment(t *testing.T, program string, limiters int) *experiment.Experiment {
	t.Helper()
	e := loadExample(t, "coldfew", program)
	return resize(t, e, limiters, e.Length)
}

// TestFewLimitersKeepSlowStartBudget: one and two real processes before cold servers, at a load of which an even
// share would push a fresh server over: none gets more in any two seconds than its slow-start budget, and most of the
// load is served. A fresh server bears two requests at once; what begins over that at an instant is not counted here,
// since requests that last by chance pass it at any pace.
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

// TestFewLimitersThatOverrunColdServersAreCaught: a limiter that prefers new servers pushes one over.
func TestFewLimitersThatOverrunColdServersAreCaught(t *testing.T) {
	t.Parallel()
	e := coldFewExperiment(t, brokenLimiter(t, mutants.Cold), 1)
	e.Length = 3
	r, _ := runExperiment(t, e)
	require.NotEmpty(t, r.Run.OverloadCrashes)
	wantBreach(t, r, 4)
}

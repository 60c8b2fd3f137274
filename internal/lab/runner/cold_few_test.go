package runner

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/lab/experiment"
	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/lab/mutants"
)

// coldFew is the experiment of examples/lab/coldfew.toml with so many limiters.
func coldFew(t *testing.T, program string, limiters int) *experiment.Experiment {
	t.Helper()
	e := example(t, "coldfew", program)
	return smaller(t, e, limiters, e.Length)
}

// TestFewLimitersKeepSlowStartBudget: one and two real processes before cold servers, at a load of which an even
// share would push a fresh server over: none gets more in any two seconds than its slow-start budget, and most of the
// load is served. A fresh server bears two requests at once; what begins over that at an instant is not counted here,
// since requests that last by chance pass it at any pace.
func TestFewLimitersKeepSlowStartBudget(t *testing.T) {
	t.Parallel()
	program := build(t)
	for _, limiters := range []int{1, 2} {
		t.Run(fmt.Sprint(limiters), func(t *testing.T) {
			t.Parallel()
			r, _ := played(t, coldFew(t, program, limiters))
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
	e := coldFew(t, broken(t, mutants.Cold), 1)
	e.Length = 3
	r, _ := played(t, e)
	require.NotEmpty(t, r.Run.OverloadCrashes)
	wants(t, r, 4)
}

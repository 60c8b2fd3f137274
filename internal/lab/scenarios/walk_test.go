package scenarios

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ospreycroft/internal/lab/simfleet"
)

// TestWalk runs random schedules of faults on a small fleet and checks that no rule is broken.
func TestWalk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, descriptions := Walk(t)
		r, err := w.Result()
		require.NoError(t, err)
		require.NoError(t, ruleBreaches(r), "%q", descriptions)
	})
}

// TestWalkFindsFaults checks that random schedules detect each of these injected defects within 20 draws, so that
// TestWalk cannot pass because its check detects nothing.
func TestWalkFindsFaults(t *testing.T) {
	faults := []simfleet.Broken{
		simfleet.IgnoresDrains,
		simfleet.DropsRenewals,
		simfleet.LosesAnswers,
		simfleet.SendsTwice,
	}
	for _, fault := range faults {
		t.Run(string(fault), func(t *testing.T) {
			walks := rapid.Custom(func(t *rapid.T) bool {
				w, _ := Walk(t, fault)
				r, err := w.Result()
				return err != nil || r.Verdict.Pass
			})
			for i := range 20 {
				if !walks.Example(i) {
					return
				}
			}
			t.Fatal("20 random schedules broke no rule")
		})
	}
}

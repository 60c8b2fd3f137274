package scenarios

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ospreycroft/internal/lab/simfleet"
)

// TestWalk plays random schedules of faults on a small fleet. The rules are the invariants.
func TestWalk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, told := Walk(t)
		r, err := w.Result()
		require.NoError(t, err)
		require.NoError(t, broken(r), "%q", told)
	})
}

// TestWalkFails sees the walks find each of these faults within a few schedules.
func TestWalkFails(t *testing.T) {
	ways := []simfleet.Broken{
		simfleet.IgnoresDrains,
		simfleet.DropsRenewals,
		simfleet.LosesAnswers,
		simfleet.SendsTwice,
	}
	for _, way := range ways {
		t.Run(string(way), func(t *testing.T) {
			walks := rapid.Custom(func(t *rapid.T) bool {
				w, _ := Walk(t, way)
				r, err := w.Result()
				return err != nil || r.Verdict.Pass
			})
			for i := range 20 {
				if !walks.Example(i) {
					return
				}
			}
			t.Fatal("twenty walks kept the rules")
		})
	}
}

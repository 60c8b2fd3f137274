package scenarios

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log"
	"os"
	"strconv"
	"testing"

	"github.com/cucumber/godog"
	"github.com/stretchr/testify/require"

	"ospreycroft/internal/lab/simfleet"
	"ospreycroft/internal/lab/transcript"
)

// tags choose the scenarios: those tagged @open show a fault of the present program that is known and not mended yet.
// STORIES_TAGS=@open plays these alone.
func tags() string {
	if t := os.Getenv("STORIES_TAGS"); t != "" {
		return t
	}
	return "~@open"
}

// STORIES_BREAK names a way (simfleet.Ways) in which the limiters of all scenarios are broken, to see which stories
// fail; STORIES_SHIFT is added to the seed of each, to look for days on which one fails.

// TestMain makes the random walks the same ones every time, and few; -rapid.checks and -rapid.seed ask for others.
func TestMain(m *testing.M) {
	log.SetOutput(io.Discard) // hundreds of limiters would fill it
	for name, value := range map[string]string{"rapid.checks": "25", "rapid.seed": "20261202", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// compareTranscript holds what crossed a scenario's wires against the sum that is committed: a difference is a change
// of what the program, or the laboratory, does.
func compareTranscript(scenario, sum string) error {
	sums, err := transcript.ReadSums("testdata/transcripts.txt")
	if err != nil {
		return err
	}
	if sums[scenario] != sum {
		return fmt.Errorf("transcript of %q: is %q, committed is %q", scenario, sum, sums[scenario])
	}
	return nil
}

func TestScenarios(t *testing.T) {
	suite := godog.TestSuite{Name: "stories",
		ScenarioInitializer: func(s *godog.ScenarioContext) {
			w := Steps(s)
			if fault := os.Getenv("STORIES_BREAK"); fault != "" {
				w.Broken = []simfleet.Broken{simfleet.Broken(fault)}
			}
			w.SeedOffset, _ = strconv.ParseUint(os.Getenv("STORIES_SHIFT"), 10, 64)
			w.Transcript = transcript.New()
			s.After(func(ctx context.Context, scenario *godog.Scenario, err error) (context.Context, error) {
				if err == nil && len(w.Broken) == 0 && w.SeedOffset == 0 {
					err = compareTranscript(scenario.Name, w.Transcript.Sum())
				}
				return ctx, err
			})
		},
		Options: &godog.Options{
			Format:   "pretty",
			Paths:    []string{"features"},
			Tags:     tags(),
			Strict:   true,
			TestingT: t,
			NoColors: true,
		},
	}
	require.True(t, suite.Run() == 0, "a story did not go as told")
}

package simfleet

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/lab/transcript"
	"ospreycroft/internal/limiter"
	"ospreycroft/internal/snapshot"
)

// transcriptSeeds is the number of fault schedules that TestTranscripts runs.
const transcriptSeeds = 20

// The fleet of a transcript, and the length of its run.
const (
	transcriptLimiters = 6
	transcriptServers  = 8
	transcriptUntil    = 16 * second
)

// transcriptOptions returns the options for a seed: with and without a counter, with pushed and polled endpoint lists,
// with and without operator options, with and without health checks.
func transcriptOptions(seed uint64) Options {
	options := DefaultOptions(seed, transcriptLimiters, transcriptServers)
	options.Mode = []Mode{Pushed, Polled}[seed%2]
	options.Load.Until = transcriptUntil
	options.Load.KeepConnections = seed%4 < 2
	options.Load.Rate = []float64{300, 500, 1100}[seed%3]
	for i := range options.Load.Customers {
		options.Load.Customers[i].Limiters = 3
	}
	options.Settings = DefaultSettings()
	family := options.Settings["family-info"].(map[string]any)
	family["has-counter"] = seed%5 != 0
	options.Settings["permissions"].(map[string]any)["probes"] = seed%3 == 0
	if seed%4 == 3 {
		options.Operator = limiter.OperatorOptions{DiscoveryCallRate: 4, ConnectionRate: 40}
	}
	return options
}

// scheduleFaults schedules one fault of each kind, at times drawn from the seed.
func scheduleFaults(f *Fleet, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0x7a))
	once := func(fault func()) { f.At(3*second+rng.Int64N(10*second), fault) }
	during := func(begin, end func()) {
		from := 3*second + rng.Int64N(9*second)
		f.At(from, begin)
		f.At(from+second/5+rng.Int64N(3*second), end)
	}
	once(func() { f.DrainServer("s1") })
	once(func() { f.RemoveServer("s2"); f.AddServer("s2", "s2-new") })
	during(func() { f.CrashServer("s3") }, func() { f.RestartServer("s3") })
	during(func() { f.VanishServer("s4") }, func() { f.RestartServer("s4") })
	during(func() { f.SilenceServer("s5", true) }, func() { f.SilenceServer("s5", false) })
	during(func() { f.SlowServer("s6", 20) }, func() { f.SlowServer("s6", 0) })
	during(func() { f.KillLimiter(0) }, func() { f.StartLimiter(0) })
	once(func() { f.TerminateLimiter(1, true) })
	during(func() { f.PauseLimiter(2) }, func() { f.ResumeLimiter(2) })
	once(func() { f.SilenceWatches(func(int) bool { return true }) })
	during(func() { f.SetDiscoveryDown(true) }, func() { f.SetDiscoveryDown(false) })
	once(func() { f.ReloadLimiter(3, 2, 2) })
	once(func() { f.HalfOpen("s7", 4) })
	during(func() { f.SetRequestRate(1500) }, func() { f.SetRequestRate(300) })
	for fault := LinkCut; fault <= DialDelayed; fault++ {
		ends := [][2]string{
			{"limiter", "counter"},
			{"server", "limiter"},
			{"limiter", "list"},
			{"list", "limiter"},
			{"limiter", "s0"},
		}
		chosen := ends[(int(fault)+int(seed))%len(ends)]
		include := func(n int) bool { return n%2 == int(seed)%2 }
		var rule *LinkRule
		during(
			func() { rule = f.AddLinkFault(fault, chosen[0], chosen[1], include, 100e6, 0.1) },
			func() { f.HealLink(rule) },
		)
	}
}

// TestTranscripts compares the hash of all packets that cross the network of a fleet, under all kinds of faults, with
// the committed hashes. It guards against unintended changes of behavior: a difference means that the program or the
// simulator does something else.
func TestTranscripts(t *testing.T) {
	sums, err := transcript.ReadSums("testdata/transcripts.txt")
	require.NoError(t, err)
	for seed := range uint64(transcriptSeeds) {
		name := fmt.Sprint("seed ", seed)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			options := transcriptOptions(seed)
			options.Transcript = transcript.New()
			if options.Operator.DiscoveryCallRate > 0 {
				options.Operator.SaveEvery = second
				options.Operator.SaveSnapshot = func(saved *snapshot.Snapshot) {
					text, err := json.Marshal(saved)
					require.NoError(t, err)
					options.Transcript.Add(text, saved.TakenAt)
				}
			}
			f, err := New(options)
			require.NoError(t, err)
			f.StartAll(int64(seed%3) * second)
			scheduleFaults(f, seed)
			f.Run(transcriptUntil)
			f.Finish()
			require.Equal(t, sums[name], options.Transcript.Sum())
		})
	}
}

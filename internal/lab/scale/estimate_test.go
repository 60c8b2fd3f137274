package scale

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/lab/emulator"
	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/settings"
)

func TestInstances(t *testing.T) {
	require.Equal(t, 2, InstancesNeeded(100, 100, 0.5))
	require.Equal(t, 3, InstancesNeeded(101, 100, 0.5), "rounded up")
	require.Zero(t, InstancesNeeded(100, 0, 0.5))
}

// TestLargestShare checks that a single instance gets all load, and that the largest customer's load is not divided.
func TestLargestShare(t *testing.T) {
	require.InDelta(t, 1, LargestShare(100, 1, 0), 1e-9)
	require.InDelta(t, 0.25, LargestShare(Customers, 4, 0), 0.01)
	largest := 0.0
	for k := range 10 {
		largest += 1 / float64(k+1)
	}
	require.GreaterOrEqual(t, LargestShare(10, 1000, 1), 1/largest)
}

// TestCountName checks that a customer's counting window changes once per span, and that customers do not share
// names.
func TestCountName(t *testing.T) {
	const span = int64(30e9)
	for customer := range uint64(20) {
		names := map[uint64]bool{}
		for at := int64(0); at < span; at += span / 100 {
			names[countName(customer, at, span)] = true
		}
		require.LessOrEqual(t, len(names), 2, "names in one span")
		require.NotEqual(t, countName(customer, 0, span), countName(customer, span, span))
		require.NotEqual(t, countName(customer, 0, span), countName(customer+1, 0, span))
	}
}

// TestQuantile checks quantiles by the nearest rank.
func TestQuantile(t *testing.T) {
	values := make([]float64, 100)
	for i := range values {
		values[i] = float64(i + 1)
	}
	require.EqualValues(t, 50, quantile(values, 0.5))
	require.EqualValues(t, 99, quantile(values, 0.99))
	require.EqualValues(t, 7, quantile([]float64{7}, 0.99))
	p := Point{Samples: []float64{3, 1, 2}}
	require.Equal(t, []float64{1, 2, 3}, []float64{p.Min(), p.Median(), p.Max()})
}

// TestAppliedTimes checks that a limiter counts as having applied a generation at its first call after the answer
// that carried it, and not by a call of an earlier incarnation that overlaps.
func TestAppliedTimes(t *testing.T) {
	calls := []history.Call{
		{Limiter: 0, At: 5, EndedAt: 20, End: history.Answered, Generation: 7}, // in flight at the change
		{Limiter: 1, At: 6, EndedAt: 21, End: history.NoResponse},
		{Limiter: 1, At: 22, EndedAt: 30, End: history.Answered, Generation: 6}, // an older list
		{Limiter: 0, At: 25, EndedAt: 40, End: history.Answered, Generation: 7},
		{Limiter: 1, At: 31, EndedAt: 35, End: history.Answered, Generation: 8},
		{Limiter: 1, At: 39, EndedAt: 45, End: history.Answered, Generation: 8},
		{Limiter: 0, At: 41, EndedAt: 50, End: history.Answered, Generation: 7},
	}
	require.Equal(t, []int64{25, 39}, appliedTimes(calls, 10, 7))
	overlapping := []history.Call{ // of an incarnation that has ended, and of the next one
		{
			Limiter:    0,
			At:         11,
			EndedAt:    60,
			End:        history.Answered,
			Generation: 7,
		}, {Limiter: 0, At: 45, EndedAt: 50, End: history.CallerGone}}
	require.Empty(t, appliedTimes(overlapping, 10, 7))
	require.Empty(t, appliedTimes(calls[:3], 10, 7), "the answer arrived, and no call followed it")
	require.Empty(t, appliedTimes(calls, 10, 9))
}

// TestJoinObservations checks that the records of a client, the counter and a server are joined by request, and that
// a request is excluded if it was rejected or has no call at the counter.
func TestJoinObservations(t *testing.T) {
	const customer, clockOffset = uint64(77), int64(1e18)
	name := countName(customer, 1e6+clockOffset, counterWindow)
	observed := newObservations()
	observed.calls[name] = []emulator.CounterCall{
		{Read: 0.5e6, Answered: 0.6e6}, // of an earlier request
		{Read: 2e6, Answered: 3e6},
	}
	observed.handled["a"] = emulator.ServedCommand{ID: "a", Read: 5e6, Answered: 10e6}
	observed.handled["b"] = emulator.ServedCommand{ID: "b", Read: 5e6, Answered: 10e6}
	w := observed.join([]requestResult{
		{id: "a", customer: customer, sentAt: 1e6, answeredAt: 12e6, firstByte: '$'},
		{id: "b", customer: customer + 1, sentAt: 1e6, answeredAt: 12e6, firstByte: '$'}, // no call of its customer
		{id: "c", customer: customer, sentAt: 1e6, answeredAt: 12e6, firstByte: '-'},     // rejected
	}, clockOffset)
	require.Equal(t, 2, w.excluded)
	require.Equal(t, []float64{1}, w.parts[toCounter])
	require.Equal(t, []float64{1}, w.parts[atCounter])
	require.Equal(t, []float64{2}, w.parts[toServer])
	require.Empty(t, w.parts[toServerNewConn])
	require.Equal(t, []float64{2}, w.parts[backToClient])
	require.Equal(t, []float64{6}, w.added)
}

// TestConfig checks that a limiter accepts the lab's configuration, and that the ids of the lab's servers are unique.
func TestConfig(t *testing.T) {
	text, err := encodeConfig(newLimiterConfig(549, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", 1024, nil))
	require.NoError(t, err)
	config, err := settings.DecodeConfig(text)
	require.NoError(t, err)
	require.Equal(t, 549, config.Settings.Position)
	require.Equal(t, Limiters, config.Settings.Limiters)
	seen := map[string]bool{}
	for _, instance := range newInstances(Servers, []string{"127.0.0.1:4", "127.0.0.1:5"}) {
		require.False(t, seen[instance.ID], "ids are unique")
		seen[instance.ID] = true
	}
}

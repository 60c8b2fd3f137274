package scale

import "math"

// This file estimates sizes from measured slopes. It does no I/O.

// InstancesNeeded returns how many instances serve callsPerSecond, if each can serve capacity calls per second and is
// to be used up to the share utilization of that. It returns 0 if capacity or utilization is not positive.
func InstancesNeeded(callsPerSecond, capacity, utilization float64) int {
	if capacity <= 0 || utilization <= 0 {
		return 0
	}
	return int(math.Ceil(callsPerSecond / (capacity * utilization)))
}

// LargestShare returns the share of all load that the most loaded instance gets if customers are assigned to
// instances by the hash of their number and the k-th customer sends in proportion to 1/k^skew.
func LargestShare(customers, instances int, skew float64) float64 {
	loads := make([]float64, instances)
	total := 0.0
	for k := range customers {
		load := math.Pow(float64(k+1), -skew)
		loads[mixBits(uint64(k))%uint64(instances)] += load
		total += load
	}
	largest := 0.0
	for _, load := range loads {
		largest = max(largest, load)
	}
	return largest / total
}

// mixBits is the hash of SplitMix64, by which choice.go also makes the names for the counter.
func mixBits(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// countName returns the name on which a customer's use is counted at the time now, as choice.go computes it. Windows
// are span long and begin at an offset of the customer's own. Times are nanoseconds on the limiters' clock.
func countName(customer uint64, now, span int64) uint64 {
	phase := int64(mixBits(customer) >> 1)
	window := (now + phase%span) / span
	return mixBits(mixBits(customer)^uint64(window)) >> 1
}

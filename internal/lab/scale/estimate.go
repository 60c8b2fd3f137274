package scale

import "math"

// This file reckons sizes from slopes. It does no I/O.

// InstancesNeeded is how many instances bear so many calls a second, each of which bears capacity of them and is to be used
// to a part of that at most.
func InstancesNeeded(callsPerSecond, capacity, utilization float64) int {
	if capacity <= 0 || utilization <= 0 {
		return 0
	}
	return int(math.Ceil(callsPerSecond / (capacity * utilization)))
}

// LargestShare is the share of all load that the fullest of so many instances gets where customers are divided by the
// hash of their number, and the k-th customer sends as 1/k^skew.
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

// mixBits spreads a number over all bits, as the counts' names are (choice.go).
func mixBits(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// countName is the name on which a customer's use is counted in the window that holds now, as choice.go names it:
// windows are span long and begin at a time of the customer's own. Times are nanoseconds of the limiters' clock.
func countName(customer uint64, now, span int64) uint64 {
	phase := int64(mixBits(customer) >> 1)
	window := (now + phase%span) / span
	return mixBits(mixBits(customer)^uint64(window)) >> 1
}

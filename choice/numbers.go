package choice

import "hash/fnv"

func seconds(nanoseconds int64) float64 { return float64(nanoseconds) / 1e9 }

func nanoseconds(seconds float64) int64 { return int64(seconds * 1e9) }

// mix is a bijection that spreads a number over all 64 bits (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// hashString hashes a string to 64 bits, the same way in every process.
func hashString(text string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text)) // never fails
	return mix(hash.Sum64())
}

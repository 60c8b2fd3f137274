package coldstart

import "math"

// The rule by which package choice assigns subsets of the servers to limiters: each server is shared by 16 limiters,
// and each limiter has at least 8 servers.
const (
	limitersPerServer = 16
	minSubsetSize     = 8
)

// LimitersPerServer returns the mean number of limiters whose subset contains a given server, out of the given number
// of servers. No server exceeds the mean by more than one. Limiters that do not know their position use all servers.
func (s *Settings) LimitersPerServer(servers int) int {
	if s.Position < 0 {
		return s.Limiters
	}
	servers = max(servers, 1)
	return max(1, min(s.Limiters, (s.Limiters*subsetSize(s.Limiters, servers)+servers-1)/servers))
}

// subsetSize returns the number of servers in a limiter's subset.
func subsetSize(limiters, servers int) int {
	return min(servers, max(minSubsetSize, (limitersPerServer*servers+limiters-1)/limiters))
}

// Bucket is the token bucket that limits the connections one limiter opens to one server. It holds at most one token
// and fills at the limiter's part of the connection rate of the server. Buckets start at levels that differ by limiter,
// so limiters that share a server and start together open, in any second, at most one connection more than the server's
// rate. After an idle time all buckets are full, and the excess can be one connection per limiter. The zero Bucket does
// not limit.
type Bucket struct {
	rate      float64 // tokens per second, 0 for no limit
	tokens    float64
	updatedAt int64 // nanoseconds
}

// NewBucket returns the bucket of one of the given number of servers; it does not limit if set.ConnectionRate is 0.
// Limiters that share a server are neighbors on the hash ring, so the initial level follows the limiter's position
// within that part of the ring.
func NewBucket(now int64, set *Settings, servers int) Bucket {
	servers = max(servers, 1)
	_, initialTokens := math.Modf(set.positionFraction() * float64(servers) / float64(subsetSize(set.Limiters, servers)))
	return Bucket{
		rate: set.ConnectionRate / float64(set.LimitersPerServer(servers)), tokens: initialTokens, updatedAt: now,
	}
}

// Take reports whether a connection may be opened at now, in nanoseconds, and takes a token for it.
func (b *Bucket) Take(now int64) bool {
	if b.rate == 0 {
		return true
	}
	b.tokens, b.updatedAt = math.Min(1, b.tokens+b.rate*float64(max(0, now-b.updatedAt))/1e9), max(now, b.updatedAt)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

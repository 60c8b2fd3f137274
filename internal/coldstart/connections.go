package coldstart

import "math"

// What package choice gives a limiter: sixteen limiters share a server, and a limiter has eight servers at least.
const (
	limitersPerServer = 16
	minSubsetSize     = 8
)

// LimitersPerServer is the number of limiters whose circles hold one server, of so many servers: a mean, which no
// server passes by more than one where the limiters know their places; where they do not, each has all servers.
func (s *Settings) LimitersPerServer(servers int) int {
	if s.Position < 0 {
		return s.Limiters
	}
	servers = max(servers, 1)
	return max(1, min(s.Limiters, (s.Limiters*subsetSize(s.Limiters, servers)+servers-1)/servers))
}

func subsetSize(limiters, servers int) int {
	return min(servers, max(minSubsetSize, (limitersPerServer*servers+limiters-1)/limiters))
}

// Bucket holds the new connections that a limiter may open to one server: one at most, and it fills at the limiter's
// part of what a server bears from all. Of limiters that share a server and start together, each with the bucket of
// its place, all open no more in any second than the server bears, and one. After a lull all of them hold one, so then
// it is their number more.
type Bucket struct {
	rate      float64 // a second
	tokens    float64
	updatedAt int64
}

// NewBucket is the bucket of one of so many servers; the zero Bucket, like one where no bound is stated, holds nothing
// back. Limiters that share a server stand in one arc of the ring, so it is by their places in that arc that they
// begin apart.
func NewBucket(now int64, set *Settings, servers int) Bucket {
	servers = max(servers, 1)
	_, initialTokens := math.Modf(set.positionFraction() * float64(servers) / float64(subsetSize(set.Limiters, servers)))
	return Bucket{rate: set.ConnectionRate / float64(set.LimitersPerServer(servers)), tokens: initialTokens, updatedAt: now}
}

// Take tells whether a connection may be opened at now and counts it.
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

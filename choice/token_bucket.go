package choice

import "math"

// tokenBucket holds units that come in at a rate, up to a burst. Its tokens may be negative: what was taken past them.
type tokenBucket struct {
	tokens    float64
	burst     float64
	rate      float64 // tokens a second; 0 for a bucket that never fills
	overflow  float64 // tokens that found no place since this was last cleared
	updatedAt int64   // nanoseconds
}

// refill adds what has come in since the last call, and gives the tokens.
func (b *tokenBucket) refill(now int64) float64 {
	b.tokens += b.rate * seconds(now-b.updatedAt)
	b.overflow += max(0, b.tokens-b.burst)
	b.tokens = math.Min(b.burst, b.tokens)
	b.updatedAt = now
	return b.tokens
}

// take takes tokens, whether there are so many or not.
func (b *tokenBucket) take(now int64, tokens float64) {
	b.tokens = b.refill(now) - tokens
}

// putBack gives tokens back, as far as there is place.
func (b *tokenBucket) putBack(now int64, tokens float64) {
	b.tokens = math.Min(b.burst, b.refill(now)+tokens)
}

// waitFor is how many nanoseconds until the bucket holds so many tokens, as of its last refill.
func (b *tokenBucket) waitFor(tokens float64) int64 {
	return nanoseconds((tokens - b.tokens) / b.rate)
}

// fullAt is when the bucket will be full if nothing is taken, math.MaxInt64 for one that does not fill.
func (b *tokenBucket) fullAt() int64 {
	missing := b.burst - b.tokens
	switch {
	case missing <= 0:
		return b.updatedAt
	case b.rate <= 0 || missing/b.rate >= seconds(math.MaxInt64-b.updatedAt):
		return math.MaxInt64
	}
	return b.updatedAt + nanoseconds(missing/b.rate)
}

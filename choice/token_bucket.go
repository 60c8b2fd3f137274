package choice

import "math"

// tokenBucket holds tokens that refill at a rate, up to a burst. The number of tokens is negative if more were taken
// than it held.
type tokenBucket struct {
	tokens    float64
	burst     float64
	rate      float64 // tokens a second; 0 for a bucket that never fills
	overflow  float64 // tokens that did not fit since this was last cleared
	updatedAt int64   // nanoseconds
}

// refill adds the tokens due since the last call, and returns the tokens held.
func (b *tokenBucket) refill(now int64) float64 {
	b.tokens += b.rate * seconds(now-b.updatedAt)
	b.overflow += max(0, b.tokens-b.burst)
	b.tokens = math.Min(b.burst, b.tokens)
	b.updatedAt = now
	return b.tokens
}

// take takes tokens, even if the bucket holds fewer.
func (b *tokenBucket) take(now int64, tokens float64) {
	b.tokens = b.refill(now) - tokens
}

// putBack returns tokens, up to the burst.
func (b *tokenBucket) putBack(now int64, tokens float64) {
	b.tokens = math.Min(b.burst, b.refill(now)+tokens)
}

// waitFor returns the nanoseconds until the bucket holds the given tokens, counted from its last refill.
func (b *tokenBucket) waitFor(tokens float64) int64 {
	return nanoseconds((tokens - b.tokens) / b.rate)
}

// fullAt returns when the bucket will be full if nothing is taken, math.MaxInt64 if it does not refill.
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

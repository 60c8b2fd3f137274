package distribution

// Budget is the rate limit of the pieces that a server sends: a token bucket of bytes. Zero fields mean the defaults.
type Budget struct {
	Rate  int64 // bytes per second, 0 for 4 MiB
	Burst int64 // bytes that may be sent at once, 0 for 1 MiB; raised to MaxPieceBytes if lower
}

const (
	defaultPieceRate  = 4 << 20
	defaultPieceBurst = 1 << 20
	maxBudgetBytes    = 1 << 32 // so that its product with second does not overflow an int64
	second            = int64(1e9)
)

func (b Budget) orDefault() Budget {
	if b.Rate <= 0 {
		b.Rate = defaultPieceRate
	}
	if b.Burst <= 0 {
		b.Burst = defaultPieceBurst
	}
	b.Rate = min(b.Rate, maxBudgetBytes)
	b.Burst = min(max(b.Burst, MaxPieceBytes), maxBudgetBytes)
	return b
}

// byteBudget is the state of a Budget's token bucket.
type byteBudget struct {
	Budget
	spent     int64 // bytes sent that the rate has not yet refilled
	updatedAt int64 // the time to which spent applies, in nanoseconds
}

// wait returns the time in nanoseconds until bytes may be spent, 0 if they may be spent now. bytes must not exceed the
// burst.
func (s *byteBudget) wait(now, bytes int64) int64 {
	if now > s.updatedAt {
		refill := s.spent
		if elapsed := now - s.updatedAt; elapsed < (s.spent*second)/s.Rate+1 {
			refill = elapsed * s.Rate / second
			s.updatedAt += refill * second / s.Rate // a fraction of a byte carries over to the next call
		} else {
			s.updatedAt = now
		}
		s.spent -= min(refill, s.spent)
	}
	excess := s.spent + bytes - s.Burst
	if excess <= 0 {
		return 0
	}
	return (excess*second + s.Rate - 1) / s.Rate
}

// spend takes bytes from the budget.
func (s *byteBudget) spend(bytes int64) { s.spent += bytes }

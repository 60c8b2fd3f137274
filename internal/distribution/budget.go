package distribution

// Budget bounds the bytes of pieces that a server gives: a token bucket. Zero fields take the defaults.
type Budget struct {
	Rate  int64 // bytes a second
	Burst int64 // bytes at once, at least MaxPieceBytes
}

const (
	defaultPieceRate  = 4 << 20
	defaultPieceBurst = 1 << 20
	maxBudgetBytes    = 1 << 32 // so that no product with a second passes an int64
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

// byteBudget is a budget in use.
type byteBudget struct {
	Budget
	spent     int64 // bytes that are not yet refilled
	updatedAt int64 // when spent was true
}

// wait is how long until so many bytes, at most the burst, may be spent; 0 where they may be now.
func (s *byteBudget) wait(now, bytes int64) int64 {
	if now > s.updatedAt {
		refill := s.spent
		if elapsed := now - s.updatedAt; elapsed < (s.spent*second)/s.Rate+1 {
			refill = elapsed * s.Rate / second
			s.updatedAt += refill * second / s.Rate // what is less than a byte is kept for the next time
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

// spend notes bytes that were given.
func (s *byteBudget) spend(bytes int64) { s.spent += bytes }

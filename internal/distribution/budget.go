package distribution

// Budget bounds the bytes of pieces that a server gives: a token bucket. Zero fields take the defaults.
type Budget struct {
	Rate  int64 // bytes a second
	Burst int64 // bytes at once, at least MaxPieceBytes
}

const (
	defaultPieceRate  = 4 << 20
	defaultPieceBurst = 1 << 20
	maxBudget         = 1 << 32 // so that no product with a second passes an int64
	second            = int64(1e9)
)

func (b Budget) orDefault() Budget {
	if b.Rate <= 0 {
		b.Rate = defaultPieceRate
	}
	if b.Burst <= 0 {
		b.Burst = defaultPieceBurst
	}
	b.Rate = min(b.Rate, maxBudget)
	b.Burst = min(max(b.Burst, MaxPieceBytes), maxBudget)
	return b
}

// spending is a budget in use.
type spending struct {
	Budget
	spent int64 // bytes that are not yet refilled
	at    int64 // when spent was true
}

// wait is how long until so many bytes, at most the burst, may be spent; 0 where they may be now.
func (s *spending) wait(now, bytes int64) int64 {
	if now > s.at {
		refill := s.spent
		if elapsed := now - s.at; elapsed < (s.spent*second)/s.Rate+1 {
			refill = elapsed * s.Rate / second
			s.at += refill * second / s.Rate // what is less than a byte is kept for the next time
		} else {
			s.at = now
		}
		s.spent -= min(refill, s.spent)
	}
	over := s.spent + bytes - s.Burst
	if over <= 0 {
		return 0
	}
	return (over*second + s.Rate - 1) / s.Rate
}

// spend notes bytes that were given.
func (s *spending) spend(bytes int64) { s.spent += bytes }

package choice

import "container/list"

const (
	// accountBytes is the memory that one account takes at most, with its entries in all tables, in bytes.
	accountBytes = 512
	// evictionCandidates is how many accounts of one list are examined for each new account, so that a request costs the
	// same however many accounts cannot be evicted.
	evictionCandidates = 8
	// ceilingTolerance is the relative rounding error of a bucket that was refilled in several steps instead of one.
	ceilingTolerance = 1e-9
)

// accountLimit decides which account makes room for a new one once the accounts take their part of the memory. A flood of
// customers that send one request each must not displace those that come again, so their accounts go first.
type accountLimit struct {
	max int // largest number of accounts, 0 for no limit
	// newcomers holds the accounts of customers that have sent one request, returning those of all others, each the
	// least recently used first. Their elements' values are of type *account.
	newcomers, returning list.List
	evicted              int // accounts evicted for a new one since the start
}

// newAccountLimit returns the limit that follows from the memory that the process may take, in bytes; 0 for no limit.
func newAccountLimit(memory int64) accountLimit {
	if memory <= 0 {
		return accountLimit{}
	}
	return accountLimit{max: int(max(1, MemoryBudget(memory).part()/accountBytes))}
}

// added records a new account.
func (l *accountLimit) added(acct *account) { acct.element = l.newcomers.PushBack(acct) }

// used records a further request of an account's customer.
func (l *accountLimit) used(acct *account) {
	if acct.returning {
		l.returning.MoveToBack(acct.element)
		return
	}
	l.newcomers.Remove(acct.element)
	acct.returning = true
	acct.element = l.returning.PushBack(acct)
}

// removed records that an account is no longer held.
func (l *accountLimit) removed(acct *account) {
	if acct.returning {
		l.returning.Remove(acct.element)
	} else {
		l.newcomers.Remove(acct.element)
	}
}

// victim returns the account to evict for a new one, nil if none can be.
func (l *accountLimit) victim(now, startedAt int64) *account {
	for _, accounts := range []*list.List{&l.newcomers, &l.returning} {
		for range min(evictionCandidates, accounts.Len()) {
			oldest := accounts.Front()
			if acct := oldest.Value.(*account); acct.evictable(now, startedAt) {
				return acct
			}
			accounts.MoveToBack(oldest) // examined again after the others
		}
	}
	return nil
}

// evictable reports whether the account can be evicted before evictableAt. What it loses then is what it knows of the
// quota, which the next total from the counter tells again. The ceiling must lose nothing: its bucket has to hold what
// that of a new account would.
func (acct *account) evictable(now, startedAt int64) bool {
	if acct.openRequests > 0 {
		return false
	}
	ceiling := &acct.ceiling
	if ceiling.rate <= 0 {
		return true
	}
	filled := min(ceiling.burst, ceiling.rate*seconds(now-startedAt))
	return ceiling.refill(now) >= filled*(1-ceilingTolerance)
}

// AccountUsage is how many accounts a controller holds.
type AccountUsage struct {
	Held    int
	Max     int // largest number that is held, 0 for no limit
	Evicted int // accounts evicted since the start because a new customer's needed their memory
}

// AccountUsage returns how many accounts are held now.
func (c *Controller) AccountUsage() AccountUsage {
	limit := &c.accounts.limit
	return AccountUsage{Held: len(c.accounts.byCustomer), Max: limit.max, Evicted: limit.evicted}
}

package choice

import "container/heap"

// notScheduled is the position in the expiry queue of an account that is not in it.
const notScheduled = -1

// expiryQueue is a heap of accounts by the earliest time at which each could be evicted. That time may have moved since
// the account was scheduled, so the caller of popDue computes it again and reschedules the account if necessary.
type expiryQueue []*account

// Len implements heap.Interface, as do Less, Swap, Push and Pop.
func (e expiryQueue) Len() int { return len(e) }

// Less orders accounts by their time, the earliest first.
func (e expiryQueue) Less(i, j int) bool { return e[i].expiresAt < e[j].expiresAt }

// Swap exchanges two accounts.
func (e expiryQueue) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].expiryIndex = i
	e[j].expiryIndex = j
}

// Push appends an account; heap.Push calls it.
func (e *expiryQueue) Push(x any) {
	acct := x.(*account)
	acct.expiryIndex = len(*e)
	*e = append(*e, acct)
}

// Pop removes the last account; heap.Pop calls it.
func (e *expiryQueue) Pop() any {
	last := len(*e) - 1
	acct := (*e)[last]
	(*e)[last] = nil
	*e = (*e)[:last]
	acct.expiryIndex = notScheduled
	return acct
}

// popDue removes and returns the next account whose time has come, nil if there is none.
func (e *expiryQueue) popDue(now int64) *account {
	if len(*e) == 0 || (*e)[0].expiresAt > now {
		return nil
	}
	return heap.Pop(e).(*account)
}

// schedule makes popDue return the account at the given time or later. The account must not be scheduled already.
func (e *expiryQueue) schedule(at int64, acct *account) {
	acct.expiresAt = at
	heap.Push(e, acct)
}

// remove removes an account, if it is scheduled.
func (e *expiryQueue) remove(acct *account) {
	if acct.expiryIndex != notScheduled {
		heap.Remove(e, acct.expiryIndex)
	}
}

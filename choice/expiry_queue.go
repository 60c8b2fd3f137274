package choice

import "container/heap"

// expiryQueue is a heap of accounts by the earliest time at which each could be evicted. That time may have moved since
// the account was scheduled, so the caller of popDue computes it again and reschedules the account if necessary.
type expiryQueue []expiry

type expiry struct {
	at      int64
	account *account
}

// Len implements heap.Interface, as do Less, Swap, Push and Pop.
func (e expiryQueue) Len() int { return len(e) }

// Less orders entries by their time, the earliest first.
func (e expiryQueue) Less(i, j int) bool { return e[i].at < e[j].at }

// Swap exchanges two entries.
func (e expiryQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends an entry; heap.Push calls it.
func (e *expiryQueue) Push(x any) { *e = append(*e, x.(expiry)) }

// Pop removes the last entry; heap.Pop calls it.
func (e *expiryQueue) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = expiry{}
	*e = (*e)[:last]
	return x
}

// popDue removes and returns the next account whose time has come, nil if there is none.
func (e *expiryQueue) popDue(now int64) *account {
	if len(*e) == 0 || (*e)[0].at > now {
		return nil
	}
	return heap.Pop(e).(expiry).account
}

// schedule makes popDue return the account at the given time or later.
func (e *expiryQueue) schedule(at int64, acct *account) { heap.Push(e, expiry{at, acct}) }

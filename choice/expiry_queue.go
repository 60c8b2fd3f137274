package choice

import "container/heap"

// expiryQueue is a heap of customers by the earliest time at which each could be forgotten. The time may have moved on
// since it was entered: whoever takes one out looks again, and enters it anew.
type expiryQueue []expiry

type expiry struct {
	at      int64
	account *account
}

// Len is a method of heap.Interface, as are Less, Swap, Push and Pop.
func (e expiryQueue) Len() int { return len(e) }

// Less puts the earlier time first.
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

// popDue takes out the next customer that could be forgotten by now, nil for none.
func (e *expiryQueue) popDue(now int64) *account {
	if len(*e) == 0 || (*e)[0].at > now {
		return nil
	}
	return heap.Pop(e).(expiry).account
}

// schedule has a customer looked at again by the first tick from a time on.
func (e *expiryQueue) schedule(at int64, acct *account) { heap.Push(e, expiry{at, acct}) }

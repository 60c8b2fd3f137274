package sockets

// maxIdleFIFO is how many elements' memory an empty fifo keeps.
const maxIdleFIFO = 16

// fifo is a first-in, first-out queue. The zero value is an empty queue.
type fifo[T any] struct {
	items []T
	head  int // index in items of the first element
}

// len returns the number of elements.
func (q *fifo[T]) len() int { return len(q.items) - q.head }

// push appends an element. It moves the others to the front of the memory before that is enlarged.
func (q *fifo[T]) push(item T) {
	if len(q.items) == cap(q.items) && q.head > len(q.items)/2 {
		moved := copy(q.items, q.items[q.head:])
		clear(q.items[moved:])
		q.items = q.items[:moved]
		q.head = 0
	}
	q.items = append(q.items, item)
}

// front returns the first element, of which there must be one. It is valid until the next push or pop.
func (q *fifo[T]) front() *T { return &q.items[q.head] }

// pop removes and returns the first element, of which there must be one.
func (q *fifo[T]) pop() T {
	var zero T
	item := q.items[q.head]
	q.items[q.head] = zero
	q.head++
	if q.head < len(q.items) {
		return item
	}
	q.items = q.items[:0]
	q.head = 0
	if cap(q.items) > maxIdleFIFO {
		q.items = nil
	}
	return item
}

package atomicfile

import (
	"sync"
	"time"
)

const (
	// minRetryBackoff and maxRetryBackoff bound the pause, which doubles, before a value that could not be saved is
	// saved again.
	minRetryBackoff = 100 * time.Millisecond
	maxRetryBackoff = 5 * time.Second
)

// Writer saves values on a goroutine of its own, so that a slow disk holds nothing up. Of those that wait only the latest is
// written. One that could not be saved is tried again until it is, or a later one takes its place. Save and Close are for
// one goroutine.
type Writer[T any] struct {
	mutex   sync.Mutex
	pending *T
	wake    chan struct{}
	closing chan struct{}
	done    chan struct{}
}

// NewWriter starts a writer, which ends with Close. save and report are called on the writer's goroutine; report is told of the
// first error in a row and, with nil, of the first value that is written after it.
func NewWriter[T any](save func(*T) error, report func(error)) *Writer[T] {
	w := &Writer[T]{wake: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run(save, report)
	return w
}

// Save hands a value over and does not wait. The value must not be changed any more.
func (w *Writer[T]) Save(value *T) {
	w.mutex.Lock()
	w.pending = value
	w.mutex.Unlock()
	select {
	case w.wake <- struct{}{}:
	default: // the writer has been woken already
	}
}

// Close returns once what was handed over is written, or could not be at one last try. No Save may follow.
func (w *Writer[T]) Close() {
	close(w.closing)
	<-w.done
}

func (w *Writer[T]) run(save func(*T) error, report func(error)) {
	defer close(w.done)
	failed := false
	backoff := minRetryBackoff
	for last := false; !last; {
		last = w.waitForWork(failed, backoff)
		value := w.takePending()
		if value == nil {
			continue
		}
		err := save(value)
		if (err != nil) != failed {
			report(err)
		}
		failed = err != nil
		if !failed {
			backoff = minRetryBackoff
			continue
		}
		backoff = min(2*backoff, maxRetryBackoff)
		w.requeue(value)
	}
}

// waitForWork returns when there is something to do: a value was handed over, the pause behind a failure is over, or the writer
// is closed, which it tells.
func (w *Writer[T]) waitForWork(failed bool, backoff time.Duration) (closing bool) {
	var retry <-chan time.Time
	if failed {
		timer := time.NewTimer(backoff)
		defer timer.Stop()
		retry = timer.C
	}
	select {
	case <-w.wake:
	case <-retry:
	case <-w.closing:
		return true
	}
	return false
}

// requeue has a value that could not be saved wait again, unless a later one does.
func (w *Writer[T]) requeue(value *T) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.pending == nil {
		w.pending = value
	}
}

// takePending takes the value that waits, nil for none.
func (w *Writer[T]) takePending() *T {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	value := w.pending
	w.pending = nil
	return value
}

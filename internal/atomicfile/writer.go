package atomicfile

import (
	"sync"
	"time"
)

const (
	// minRetryBackoff and maxRetryBackoff bound the exponential backoff before a failed save is retried.
	minRetryBackoff = 100 * time.Millisecond
	maxRetryBackoff = 5 * time.Second
)

// Writer saves values on a goroutine of its own, so that a slow disk does not block its caller. At most one value is
// pending: a later one replaces it. A value whose save fails is retried until it is saved or replaced. Save and Close
// must be called from one goroutine.
type Writer[T any] struct {
	mutex   sync.Mutex
	pending *T // nil for none
	wake    chan struct{}
	closing chan struct{}
	done    chan struct{}
}

// NewWriter starts a writer's goroutine, which runs until Close. save and report are called on that goroutine. report
// is called with the first error of a series of failures, and with nil at the first successful save after it.
func NewWriter[T any](save func(*T) error, report func(error)) *Writer[T] {
	w := &Writer[T]{wake: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run(save, report)
	return w
}

// Save makes value the pending one and returns at once. The caller must not change the value afterwards.
func (w *Writer[T]) Save(value *T) {
	w.mutex.Lock()
	w.pending = value
	w.mutex.Unlock()
	select {
	case w.wake <- struct{}{}:
	default: // a wakeup is already queued
	}
}

// Close returns once the pending value is saved or one last attempt at it has failed. Save must not be called after it.
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

// waitForWork returns when a value was handed over, when the backoff after a failed save has passed, or when the writer
// is being closed, which it reports.
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

// requeue makes a value whose save failed pending again, unless a later value already is.
func (w *Writer[T]) requeue(value *T) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.pending == nil {
		w.pending = value
	}
}

// takePending removes and returns the pending value, nil for none.
func (w *Writer[T]) takePending() *T {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	value := w.pending
	w.pending = nil
	return value
}

package main

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"ospreycroft/internal/transient"
)

// shutdownTimeout is how long calls in progress may take to finish at a shutdown.
const shutdownTimeout = time.Second

// newMonotonicClock returns a clock that starts at the system's Unix time, in nanoseconds, and is not affected by
// steps of the system's clock.
func newMonotonicClock() func() int64 {
	start := time.Now()
	return func() int64 { return start.UnixNano() + int64(time.Since(start)) }
}

// listen listens on address and retries transient errors, such as a port that is still in use. Errors: *ListenError.
func listen(address string) (listener net.Listener, err error) {
	err = transient.RetryStart(func() error {
		listener, err = net.Listen("tcp", address)
		if err != nil {
			return &ListenError{Address: address, Cause: err}
		}
		return nil
	})
	return listener, err
}

// serve serves until ctx is done. Calls that are still held after shutdownTimeout are aborted; their clients call
// again.
func serve(ctx context.Context, server *http.Server, listener net.Listener) error {
	slog.Info("listening", "address", listener.Addr().String())
	serveError := make(chan error, 1)
	go func() { serveError <- server.Serve(listener) }()
	select {
	case err := <-serveError:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); errors.Is(err, context.DeadlineExceeded) {
		return server.Close()
	} else if err != nil {
		return err
	}
	return nil
}

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

// shutdownTimeout is how long calls may take to end when the process is told to.
const shutdownTimeout = time.Second

// newMonotonicClock makes a clock of nanoseconds that begins as the system's and never goes back.
func newMonotonicClock() func() int64 {
	start := time.Now()
	return func() int64 { return start.UnixNano() + int64(time.Since(start)) }
}

// listen listens, and tries again where that fails by what passes by itself. Errors: *ListenError.
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

// serve serves until the context ends. Held calls are broken off: their callers ask again.
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

package logging

import (
	"fmt"
	"log/slog"
	"path/filepath"
	"runtime"
	"strings"
)

// maxStackFrames bounds the stack in a log line; what matters stands in its first frames.
const maxStackFrames = 32

// LogPanic is deferred on a goroutine: it logs the panic that ends the goroutine, and the process with it, in one line
// with its stack, and lets it go on. The runtime's own traceback has many lines, which collectors of key=value lines drop.
func LogPanic(goroutine string) {
	if cause := recover(); cause != nil {
		Panic(goroutine, cause)
		panic(cause)
	}
}

// Panic logs a panic that was recovered, with the stack of the panicking goroutine. It is called by the deferred function
// that recovers.
func Panic(goroutine string, cause any) {
	slog.Error("panic", "goroutine", goroutine, "error", fmt.Sprint(cause), "stack", panicStack())
	if !Flush() {
		discardStandardError() // or the runtime waits there with its traceback, and the process never ends
	}
}

// panicStack lists the frames below the panic as function:line, the innermost first.
func panicStack() string {
	programCounters := make([]uintptr, 2*maxStackFrames)
	frames := runtime.CallersFrames(programCounters[:runtime.Callers(1, programCounters)])
	var entries []string
	belowPanic := false
	for len(entries) < maxStackFrames {
		frame, more := frames.Next()
		inRuntime := strings.HasPrefix(frame.Function, "runtime.")
		if belowPanic && !inRuntime {
			entries = append(entries, fmt.Sprintf("%s:%d", filepath.Base(frame.Function), frame.Line))
		}
		belowPanic = belowPanic || frame.Function == "runtime.gopanic"
		if !more {
			break
		}
	}
	return strings.Join(entries, " < ")
}

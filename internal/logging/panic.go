package logging

import (
	"fmt"
	"log/slog"
	"path/filepath"
	"runtime"
	"strings"
)

// maxStackFrames limits the stack in a log line. The innermost frames, which show the cause, come first.
const maxStackFrames = 32

// LogPanic must be deferred directly by a goroutine's function. It logs a panic in one line with its stack, and panics
// again, which ends the process. The runtime's own traceback is not enough: log collectors drop its lines, as they are
// no key=value pairs.
func LogPanic(goroutine string) {
	if cause := recover(); cause != nil {
		Panic(goroutine, cause)
		panic(cause)
	}
}

// Panic logs a recovered panic with the stack of the goroutine. It must be called by the deferred function that
// recovered, as the frames of the panic are still on the stack there.
func Panic(goroutine string, cause any) {
	slog.Error("panic", "goroutine", goroutine, "error", fmt.Sprint(cause), "stack", panicStack())
	if !Flush() {
		discardStandardError() // else the runtime blocks when it writes its traceback, and the process never ends
	}
}

// panicStack returns the frames that led to the panic as function:line, the innermost first.
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

package syscallshim

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// processOf returns the process id of a thread, or 0 if the thread has exited.
func processOf(thread int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", thread))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, "Tgid:"); found {
			process, _ := strconv.Atoi(strings.TrimSpace(value))
			return process
		}
	}
	return 0
}

// Path returns the path of the file to which the call's first argument, a descriptor, refers. For other objects it is
// the kernel's description, such as socket:[1]; it is empty if the descriptor cannot be read.
func (c Call) Path() string {
	path, _ := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", c.PID, c.Args[0]))
	return path
}

// IsSocket reports whether the call's first argument is the descriptor of a socket.
func (c Call) IsSocket() bool { return strings.HasPrefix(c.Path(), "socket:") }

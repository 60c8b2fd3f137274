package syscallshim

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// processOf is the process of a thread; 0 where it has ended.
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

// Path is what a descriptor of the call's process is open on: a file's path, or words such as socket:[1] where it is none.
func (c Call) Path() string {
	path, _ := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", c.PID, c.Args[0]))
	return path
}

// IsSocket tells whether the call's first argument is a socket.
func (c Call) IsSocket() bool { return strings.HasPrefix(c.Path(), "socket:") }

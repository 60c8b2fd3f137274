package limiter

import (
	"strings"
)

// changedCommand is a command in which one thing is otherwise.
func changedCommand(old, new string) string {
	return strings.Replace(command("j", "read", "480"), old, new, 1)
}

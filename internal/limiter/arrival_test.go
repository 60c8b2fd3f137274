package limiter

import (
	"strings"
)

// commandWith is a command in which one thing is otherwise.
func commandWith(old, new string) string {
	return strings.Replace(command("j", "read", "480"), old, new, 1)
}

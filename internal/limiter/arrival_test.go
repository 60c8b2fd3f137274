package limiter

import (
	"strings"
)

// commandWith returns the command of a read request with old replaced by new.
func commandWith(old, new string) string {
	return strings.Replace(command("j", "read", "480"), old, new, 1)
}

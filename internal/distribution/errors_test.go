package distribution

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestErrorsOnPage checks that docs/distribution.md lists exactly the error types of these packages that have a Hint
// method.
func TestErrorsOnPage(t *testing.T) {
	var types []string
	for _, pattern := range []string{"*.go", "*/*.go"} {
		files, err := filepath.Glob(pattern)
		require.NoError(t, err)
		for _, file := range files {
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			name := regexp.MustCompile(`(?m)^package (\w+)`).FindSubmatch(text)[1]
			for _, receiver := range regexp.MustCompile(`(?m)^func \((?:\w+ )?\*?(\w+)\) Hint\(`).FindAllSubmatch(text, -1) {
				types = append(types, string(name)+"."+string(receiver[1]))
			}
		}
	}
	page, err := os.ReadFile("../../docs/distribution.md")
	require.NoError(t, err)
	var listed []string
	for _, row := range regexp.MustCompile("(?m)^\\| `([a-z]+\\.[A-Z]\\w+)` \\| .+ \\| .+ \\|$").
		FindAllSubmatch(page, -1) {
		listed = append(listed, string(row[1]))
	}
	require.ElementsMatch(t, types, listed)
}

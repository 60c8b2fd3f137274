// Package sites tests deploy/sites/layout.sh, which derives a site's files from a given site and a list of changes.
package sites

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

const baseSite = `name = "here"

[one]
a = [1, 2]

[[kind]]
name = "x"
a = 1
b = "old"

[[kind]]
name = "y"
a = 2

[[kind.part]]
c = 3
[[kind.part]]
c = 4
`

const wantSite = `name = "there"

[one]
a = [3, 4]

[[kind]]
name = "z"
b = "new = 1"

[[kind]]
name = "y"
a = 2
d = 5
e = "x y"

[[kind.part]]
c = 3
[[kind.part]]
c = 6
`

const validVariant = `# a note
from kit/s/here.toml

set . name "there"
set one a [3, 4]
set kind:x name "z"
drop kind:x a
set kind:1 b "new = 1"
add kind:y d 5
add kind:y e "x y"
set kind.part:2 c 6
`

func TestLayout(t *testing.T) {
	script, err := os.ReadFile("../../../deploy/sites/layout.sh")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ name, variant, removed, wantError string }{
		{"whole", validVariant, "", ""},
		{"no given", validVariant, "given", "there is no ../given"},
		{"no site", validVariant, "given/kit/s/here.toml", "there is no ../given/kit/s/here.toml"},
		{"no words", validVariant, "given/kit/s/wire.json", "there is no wire.json beside"},
		{"no source", "set . name \"there\"\n", "", "there is no ../given"},
		{"no such table", validVariant + "set two a 1\n", "", "matches no table: set two a"},
		{"no such name", validVariant + "set kind:z a 1\n", "", "matches no table: set kind:z a"},
		{"no such key", validVariant + "set one b 1\n", "", "matches nothing: set one b"},
		{"nothing to drop", validVariant + "drop one b\n", "", "matches nothing: drop one b"},
		{"a key elsewhere", validVariant + "set . a 1\n", "", "matches nothing: set . a"},
		{"two tables", validVariant + "set kind a 1\n", "", "matches 2 tables where one is meant: set kind a"},
		{"there already", validVariant + "add kind:y a 1\n", "", "stands there already: add kind:y a"},
		{"twice", validVariant + "set one a 1\n", "", "named twice: set one a"},
		{"no value", validVariant + "set one a\n", "", "not understood: set one a"},
		{"no such word", validVariant + "put one a 1\n", "", "not understood: put one a 1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			base := t.TempDir()
			for name, text := range map[string]string{
				"repo/deploy/sites/layout.sh": string(script), "repo/deploy/sites/v.variant": c.variant,
				"given/kit/s/here.toml": baseSite, "given/kit/s/real.json": "{1}", "given/kit/s/wire.json": "{2}",
				"given/kit/s/unlock.txt": "3\n",
			} {
				path := filepath.Join(base, name)
				if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			if c.removed != "" {
				if err := os.RemoveAll(filepath.Join(base, c.removed)); err != nil {
					t.Fatal(err)
				}
			}
			output, err := exec.Command("bash", filepath.Join(base, "repo/deploy/sites/layout.sh"), "v").CombinedOutput()
			out := filepath.Join(base, "repo/deploy/sites/out/v")
			if c.wantError != "" {
				if _, statErr := os.Stat(out); err == nil || !strings.Contains(string(output), c.wantError) || statErr == nil {
					t.Errorf("%v: %s (output directory left behind: %v); want %q", err, output, statErr == nil, c.wantError)
				}
				return
			}
			if err != nil {
				t.Fatalf("%v: %s", err, output)
			}
			for name, want := range map[string]string{
				"v.toml": wantSite, "real.json": "{1}", "wire.json": "{2}", "unlock.txt": "3\n",
			} {
				if got, err := os.ReadFile(filepath.Join(out, name)); err != nil || string(got) != want {
					t.Errorf("%s: %v\n%s", name, err, got)
				}
			}
		})
	}
}

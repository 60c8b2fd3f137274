// Package sites holds the test of deploy/sites/layout.sh.
package sites

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

const site = `name = "here"

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

const made = `name = "there"

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

const variant = `# a note
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
	for _, c := range []struct{ name, variant, without, wrong string }{
		{"whole", variant, "", ""},
		{"no given", variant, "given", "there is no ../given"},
		{"no site", variant, "given/kit/s/here.toml", "there is no ../given/kit/s/here.toml"},
		{"no words", variant, "given/kit/s/wire.json", "there is no wire.json beside"},
		{"no source", "set . name \"there\"\n", "", "there is no ../given"},
		{"no such table", variant + "set two a 1\n", "", "matches no table: set two a"},
		{"no such name", variant + "set kind:z a 1\n", "", "matches no table: set kind:z a"},
		{"no such key", variant + "set one b 1\n", "", "matches nothing: set one b"},
		{"nothing to drop", variant + "drop one b\n", "", "matches nothing: drop one b"},
		{"a key elsewhere", variant + "set . a 1\n", "", "matches nothing: set . a"},
		{"two tables", variant + "set kind a 1\n", "", "matches 2 tables where one is meant: set kind a"},
		{"there already", variant + "add kind:y a 1\n", "", "stands there already: add kind:y a"},
		{"twice", variant + "set one a 1\n", "", "named twice: set one a"},
		{"no value", variant + "set one a\n", "", "not understood: set one a"},
		{"no such word", variant + "put one a 1\n", "", "not understood: put one a 1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			base := t.TempDir()
			for name, text := range map[string]string{
				"repo/deploy/sites/layout.sh": string(script), "repo/deploy/sites/v.variant": c.variant,
				"given/kit/s/here.toml": site, "given/kit/s/real.json": "{1}", "given/kit/s/wire.json": "{2}", "given/kit/s/unlock.txt": "3\n",
			} {
				path := filepath.Join(base, name)
				if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			if c.without != "" {
				if err := os.RemoveAll(filepath.Join(base, c.without)); err != nil {
					t.Fatal(err)
				}
			}
			said, err := exec.Command("bash", filepath.Join(base, "repo/deploy/sites/layout.sh"), "v").CombinedOutput()
			out := filepath.Join(base, "repo/deploy/sites/out/v")
			if c.wrong != "" {
				if _, stat := os.Stat(out); err == nil || !strings.Contains(string(said), c.wrong) || stat == nil {
					t.Errorf("%v: %s (folder left: %v); wanted %q", err, said, stat == nil, c.wrong)
				}
				return
			}
			if err != nil {
				t.Fatalf("%v: %s", err, said)
			}
			for name, want := range map[string]string{"v.toml": made, "real.json": "{1}", "wire.json": "{2}", "unlock.txt": "3\n"} {
				if got, err := os.ReadFile(filepath.Join(out, name)); err != nil || string(got) != want {
					t.Errorf("%s: %v\n%s", name, err, got)
				}
			}
		})
	}
}

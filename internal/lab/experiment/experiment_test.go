package experiment

import (
	"os"
	"strings"
	"testing"
)

// defaultText returns the default experiment file.
func defaultText(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../../examples/lab/default.toml")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestDefaultExperimentParses(t *testing.T) {
	e, err := Parse(defaultText(t))
	if err != nil {
		t.Fatal(err)
	}
	if e.Settings.Limiters != 3 || len(e.Faults) != 6 || e.Settings.Plans["house"].CeilingRate != 90 {
		t.Fatalf("wrong values: limiters %d, faults %d", e.Settings.Limiters, len(e.Faults))
	}
}

// The error for an invalid file starts with the invalid key.
func TestInvalidFileNamesTheKey(t *testing.T) {
	for _, c := range []struct{ from, to, key string }{
		{"length = 20.0", "length = 0.0", "length"},
		{"[limiters]\ncount = 3", "[limiters]\ncount = 3\ncolour = 1", "limiters.colour"},
		{`plan = "team"`, `plan = "gold"`, "load.customers[0].plan"},
		{`id = "00000000000000a1"`, `id = "a1"`, "load.customers[0].id"},
		{`{name = "order", share`, `{name = "print", share`, "load.tracks[1].name"},
		{`kind = "silent"`, `kind = "sulky"`, "faults[0]"},
		{`target = "limiter:1"`, `target = "limiter:9"`, "faults[4]"},
		{`effect = "single_shot"`, `effect = "twice"`, "settings: classes"},
		{"[counter]\non = true", "[counter]\non = false", "counter.on"},
		{"count-wait = 0.05", "count-wait = 0.05\nhas-counter = false", ""}, // the TOML decoder reports a duplicate key
	} {
		text := strings.Replace(defaultText(t), c.from, c.to, 1)
		if text == defaultText(t) {
			t.Fatalf("%q is not in the default file", c.from)
		}
		_, err := Parse(text)
		if err == nil || !strings.HasPrefix(err.Error(), c.key) {
			t.Errorf("%s: got %v", c.to, err)
		}
	}
}

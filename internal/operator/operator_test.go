package operator

import (
	"errors"
	"io/fs"
	"testing"
)

func TestRead(t *testing.T) {
	t.Setenv(Variable, "")
	if o, err := Read(); err != nil || *o != (Operator{}) {
		t.Fatalf("with nothing set: %+v, %v", o, err)
	}
	t.Setenv(Variable, "../../deploy/operator.toml")
	want := Operator{ListCalls: 20, Connections: 40, Installation: "east", SnapshotPath: "/var/lib/ospreycroft", Oldest: 3600e9}
	if o, err := Read(); err != nil || *o != want {
		t.Fatalf("the example: %+v, %v", o, err)
	}
	t.Setenv(Variable, "/none")
	var unreadable *Unreadable
	if _, err := Read(); !errors.As(err, &unreadable) || !errors.Is(err, fs.ErrNotExist) || unreadable.Remedy() == "" {
		t.Fatal(err)
	}
	if _, err := Parse("x", []byte("list_calls_per_s = ")); !errors.As(err, &unreadable) {
		t.Fatal(err)
	}
	for text, key := range map[string]string{
		"list_calls_per_s = 0": "list_calls_per_s", "list_calls_per_s = -2.5": "list_calls_per_s", "list_calls_per_s = nan": "list_calls_per_s",
		"list_calls_per_s = '20'": "list_calls_per_s", "list_calls_per_s = [20]": "list_calls_per_s", "list_calls = 20": "list_calls",
		"[start]\nconnections_per_s = 1e9": "start.connections_per_s", "installation = ' '": "installation", "installation = 3": "installation",
		"[snapshot]\noldest_s = 5\npath = '/x'":                "installation",
		"installation = 'east'\n[snapshot]\npath = '/x'":       "snapshot.oldest_s",
		"[snapshot]\npath = true":                              "snapshot.path",
		"[snapshots]\npath = '/x'":                             "snapshots.path",
		"[start]\nconnections_per_s = {a = 1}":                 "start.connections_per_s.a",
		"start = 5\nlist_calls_per_s = 3\n" + "snapshot = 'x'": "snapshot",
	} {
		var bad *BadKey
		if _, err := Parse("x", []byte(text)); !errors.As(err, &bad) || bad.Key != key || bad.Remedy() == "" {
			t.Errorf("%q: %v", text, err)
		}
	}
}

package operator

import (
	"errors"
	"io/fs"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRead(t *testing.T) {
	t.Setenv(Variable, "")
	o, err := Read()
	require.NoError(t, err)
	require.Zero(t, *o, "with nothing set")
	t.Setenv(Variable, "../../deploy/operator.toml")
	want := Operator{ListCalls: 20, Connections: 40, Installation: "east", SnapshotPath: "/var/lib/ospreycroft", Oldest: 3600e9}
	o, err = Read()
	require.NoError(t, err)
	require.Equal(t, want, *o, "the example")
	t.Setenv(Variable, "/none")
	var unreadable *Unreadable
	if _, err := Read(); !errors.As(err, &unreadable) || !errors.Is(err, fs.ErrNotExist) || unreadable.Hint() == "" {
		t.Fatal(err)
	}
	_, err = Parse("x", []byte("list_calls_per_s = "))
	require.ErrorAs(t, err, &unreadable)
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
		if _, err := Parse("x", []byte(text)); !errors.As(err, &bad) || bad.Key != key || bad.Hint() == "" {
			t.Errorf("%q: %v", text, err)
		}
	}
}

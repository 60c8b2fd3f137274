package operator

import (
	"errors"
	"io/fs"
	"testing"

	"github.com/stretchr/testify/require"
)

const relaysSection = "[distribution]\nrelays = ['a:1', 'b:1']\n"

func TestRead(t *testing.T) {
	t.Setenv(Variable, "")
	options, err := Read()
	require.NoError(t, err)
	require.Zero(t, *options, "variable not set")
	t.Setenv(Variable, "../../deploy/operator.toml")
	want := Options{
		DiscoveryCallRate: 20,
		ConnectionRate:    40,
		Installation:      "east",
		SnapshotPath:      "/var/lib/ospreycroft",
		SnapshotMaxAge:    3600e9,
		Distribution: Distribution{
			Relays:      [2]string{"relay-a.internal:7400", "relay-b.internal:7400"},
			Scope:       "endpoints@east",
			StatePath:   "/var/lib/ospreycroft",
			StateMaxAge: 86400e9,
		},
	}
	options, err = Read()
	require.NoError(t, err)
	require.Equal(t, want, *options, "example file")
	t.Setenv(Variable, "/none")
	var unreadable *UnreadableError
	if _, err := Read(); !errors.As(err, &unreadable) || !errors.Is(err, fs.ErrNotExist) || unreadable.Hint() == "" {
		t.Fatal(err)
	}
	_, err = Parse("x", []byte("list_calls_per_s = "))
	require.ErrorAs(t, err, &unreadable)
	for text, key := range map[string]string{
		"list_calls_per_s = 0":                                     "list_calls_per_s",
		"list_calls_per_s = -2.5":                                  "list_calls_per_s",
		"list_calls_per_s = nan":                                   "list_calls_per_s",
		"list_calls_per_s = '20'":                                  "list_calls_per_s",
		"list_calls_per_s = [20]":                                  "list_calls_per_s",
		"list_calls = 20":                                          "list_calls",
		"[start]\nconnections_per_s = 1e9":                         "start.connections_per_s",
		"installation = ' '":                                       "installation",
		"installation = 3":                                         "installation",
		"[snapshot]\noldest_s = 5\npath = '/x'":                    "installation",
		"installation = 'east'\n[snapshot]\npath = '/x'":           "snapshot.oldest_s",
		"[snapshot]\npath = true":                                  "snapshot.path",
		"[snapshots]\npath = '/x'":                                 "snapshots.path",
		"[start]\nconnections_per_s = {a = 1}":                     "start.connections_per_s.a",
		"[distribution]\nrelays = 'a:1'":                           "distribution.relays",
		"[distribution]\nrelays = ['a:1']":                         "distribution.relays",
		"[distribution]\nrelays = ['a:1', 'b:1', 'c:1']":           "distribution.relays",
		"[distribution]\nrelays = ['a:1', 'b']":                    "distribution.relays",
		"[distribution]\nrelays = ['a:1', ':2']":                   "distribution.relays",
		"[distribution]\nrelays = ['a:1', 'b:0']":                  "distribution.relays",
		"[distribution]\nrelays = [1, 2]":                          "distribution.relays",
		"[distribution]\nscope = 'endpoints@'":                     "distribution.relays",
		relaysSection + "scope = 'endpoints'":                      "distribution.scope",
		relaysSection + "scope = 'x@'":                             "distribution.scope",
		relaysSection + "scope = 3":                                "distribution.scope",
		relaysSection + "zone = 'a'":                               "distribution.zone",
		relaysSection + "state_path = '/x'\noldest_s = 5":          "installation",
		relaysSection + "state_path = ' '":                         "distribution.state_path",
		relaysSection + "oldest_s = -1":                            "distribution.oldest_s",
		"installation = 'e'\n" + relaysSection + "state_path='/x'": "distribution.oldest_s",
		"start = 5\nlist_calls_per_s = 3\n" + "snapshot = 'x'":     "snapshot",
	} {
		var keyErr *KeyError
		if _, err := Parse("x", []byte(text)); !errors.As(err, &keyErr) || keyErr.Key != key || keyErr.Hint() == "" {
			t.Errorf("%q: %v", text, err)
		}
	}
}

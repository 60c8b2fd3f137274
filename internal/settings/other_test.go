package settings

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ospreycroft/choice"
)

// TestNeedRestartCoversEveryField changes each field of a configuration, one at a time, and checks that NeedRestart
// returns its key. A field that NeedRestart does not compare would be ignored on SIGHUP without a message.
func TestNeedRestartCoversEveryField(t *testing.T) {
	// Addresses can change, the list comes from discovery, and MaxLease is a constant of the protocol.
	changeable := map[string]bool{"Discovery": true, "Known": true, "MaxLease": true}
	read := func() *Config {
		c, err := DecodeConfig([]byte(validConfig))
		require.NoError(t, err)
		return c
	}
	for name, part := range map[string]func(c *Config) any{
		"Config":          func(c *Config) any { return c },
		"Settings":        func(c *Config) any { return c.Settings },
		"choice.Settings": func(c *Config) any { return c.Settings.Settings },
		"Class":           func(c *Config) any { return c.Settings.Classes["c"] },
		"Plan":            func(c *Config) any { return c.Settings.Plans["p"] },
	} {
		for i := range reflect.TypeOf(part(read())).Elem().NumField() {
			other := read()
			v := reflect.ValueOf(part(other)).Elem()
			field := v.Type().Field(i).Name
			switch f := v.Field(i); f.Interface().(type) {
			case string:
				f.SetString("")
			case int, int64:
				f.SetInt(f.Int() + 1)
			case float64:
				f.SetFloat(f.Float() + 1)
			case bool:
				f.SetBool(!f.Bool())
			case choice.Idempotency, choice.DeduplicationScope:
				f.SetUint(f.Uint() + 1)
			case map[string]*choice.Class, map[string]*choice.Plan:
				f.SetZero()
			default:
				continue // a struct that has its own entry in the map above
			}
			if keys := read().NeedRestart(other); changeable[field] {
				require.Empty(t, keys, "%s.%s", name, field)
			} else {
				require.Len(t, keys, 1, "%s.%s", name, field)
			}
		}
	}
}

// TestInvalidValues checks that the error of each invalid value names its key. The limiter decodes its configuration
// with DecodeConfig both at the start and on SIGHUP.
func TestInvalidValues(t *testing.T) {
	class, plan := func(key string) string { return "settings: classes: c: " + key },
		func(key string) string { return "settings: tariffs: p: " + key }
	for _, c := range []struct{ old, new, key string }{
		{validConfig, "", ""},
		{`"granularity":0.004}}`, `"granul`, ""},
		{`"granularity":0.004}}`, `"granularity":0.004}}{}`, ""},
		{`"granularity":0.004`, `"granularity":NaN`, ""},
		{`,"granularity":0.004`, "", "settings: granularity"}, {`0.004`, `0`, "settings: granularity"},
		{`0.004`, `1e-10`, "settings: granularity"},
		{`0.004`, `1e400`, "settings: granularity"},
		{`0.004`, `"x"`, "settings: granularity"},
		{`"balancers":1,`, "", "settings: balancers"},
		{`"balancers":1`, `"balancers":9000000000000000000`, "settings: balancers"},
		{`"balancers":1`, `"balancers":2,"position":-1`, "settings: position"},
		{`"classes":[{"name":"c","aim":1,"effect":"free","group":"all"}],`, "", "settings: classes"},
		{`{"name":"c",`, `{"name":"c","aim":1,"effect":"free"},{"name":"c",`, "settings: classes: c"},
		{`"name":"c",`, "", "settings: classes: name"},
		{`"aim":1,`, "", class("aim")}, {`"aim":1`, `"aim":-1`, class("aim")}, {`"aim":1`, `"aim":1e-10`, class("aim")},
		{`"aim":1`, `"aim":1e10`, class("aim")}, {`"aim":1`, `"aim":"1"`, "settings: classes: aim"},
		{`"aim":1`, `"aim":1,"deadline":0`, class("deadline")},
		{`"aim":1`, `"aim":1,"dedup-window":-1`, class("dedup-window")},
		{`"aim":1`, `"aim":1,"dedup-window":1e10`, class("dedup-window")},
		{`"aim":1`, `"aim":1,"worth":1e300`, class("worth")},
		{`"effect":"free","group":"all"`, `"effect":"guarded","group":"row"`, "settings: classes: c"},
		{`"effect":"free",`, "", "settings: classes: c"},
		{`"tariffs":[{"name":"p","rate":5,"most-at-once":10}],`, "", "settings: tariffs"},
		{`{"name":"p",`, `{"name":"p"},{"name":"p",`, "settings: tariffs: p"}, {`"name":"p",`, "", "settings: tariffs: name"},
		{`"rate":5`, `"rate":1e300`, plan("rate")}, {`,"most-at-once":10`, "", plan("most-at-once")},
		{`"rate":5,"most-at-once":10`, `"rate":1e-9,"most-at-once":10`, plan("most-at-once")},
		{`"rate":5`, `"rate":5,"hard-rate":5`, plan("never-over-depth")},
		{`"rate":5`, `"rate":5,"hard-rate":1e-9,"never-over-depth":1`, plan("never-over-depth")},
		{`"rate":5`, `"rate":5,"beyond-costs":-1`, plan("beyond-costs")},
		{`"rate":5`, `"rate":5,"extra-worth":-1`, plan("extra-worth")},
		{`"rate":5`, `"rate":5,"value-factor":-1`, plan("value-factor")},
		{`"rate":5`, `"rate":5,"parallel":1e300`, plan("parallel")},
		{`"count-wait":0.05,`, "", "settings: family-info: count-wait"},
		{`"count-wait":0.05`, `"count-wait":1e10`, "settings: family-info: count-wait"},
		{`"units-top":4`, `"units-top":0`, "settings: family-info: units-top"},
		{`"units-top":4`, `"units-top":1e10`, "settings: family-info: units-top"},
		{`0.3`, `-0.3`, "settings: contract: cold-from"}, {`0.3`, `1.5`, "settings: contract: cold-from"},
		{`"warm-within":10`, `"warm-within":1e-10`, "settings: contract: warm-within"},
		{`"warm-within":10`, `"warm-within":1e10`, "settings: contract: warm-within"},
		{`"warm-within":10`, `"warm-within":10,"stop-sending-within":-1`, "settings: contract: stop-sending-within"},
		{`"attempts-cap":3`, `"attempts-cap":0`, "settings: permissions: attempts-cap"},
		{`"attempts-cap":3`, `"attempts-cap":-3`, "settings: permissions: attempts-cap"},
		{`"attempts-cap":3`, `"attempts-cap":2.5`, "settings: permissions: attempts-cap"},
		{`"attempts-cap":3`, `"attempts-cap":"3"`, "settings: permissions: attempts-cap"},
		{`"dial-timeout":0.25`, `"dial-timeout":1e-9`, "settings: permissions: dial-timeout"},
		{`"dial-timeout":0.25`, `"dial-timeout":1e10`, "settings: permissions: dial-timeout"},
		{`"idle-close":15`, `"idle-close":1e-8`, "settings: permissions: idle-close"},
		{`"idle-close":15`, `"idle-close":0`, "settings: permissions: idle-close"},
		{`"idle-close":15`, `"idle-close":15,"max-retry-after":-1`, "settings: permissions: max-retry-after"},
		{`"memory_mb":192`, `"memory_mb":1e-9`, "limits: memory_mb"},
		{`"memory_mb":192`, `"memory_mb":1e300`, "limits: memory_mb"},
		{`"sockets":1024`, `"sockets":1000000000000`, "limits: sockets"},
		{`"sockets":1024`, `"sockets":"x"`, "limits: sockets"},
		{`"seed":"ff",`, "", "seed"}, {`"127.0.0.1:2"`, `":2"`, "discovery"}, {`"127.0.0.1:2"`, `"127.0.0.1:x"`, "discovery"},
		{`"127.0.0.1:2"`, `"127.0.0.1:70000"`, "discovery"}, {`"discovery":"127.0.0.1:2",`, "", "discovery"},
		{`"127.0.0.1:3"`, `"127.0.0.1:0"`, "counter"}, {`"127.0.0.1:1"`, `"1"`, "listen"},
	} {
		require.Contains(t, validConfig, c.old)
		_, err := DecodeConfig([]byte(strings.Replace(validConfig, c.old, c.new, 1)))
		require.Error(t, err, c.new)
		if c.key == "" { // the text as a whole
			require.ErrorAs(t, err, new(*MalformedError), c.new)
			continue
		}
		var key *KeyError
		require.True(t, errors.As(err, &key), "%s: %v", c.new, err)
		require.Equal(t, c.key, key.Key, c.new)
	}
}

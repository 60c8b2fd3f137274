package settings

import (
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"ospreycroft/choice"
)

// TestFixedWhole changes each field that a configuration holds, one at a time: none may differ without its key being named.
func TestFixedWhole(t *testing.T) {
	free := map[string]bool{"Discovery": true, "Known": true, "LongestLease": true} // they move, are asked for anew, or are the wire's
	read := func() *Config {
		c, err := ReadConfig([]byte(good))
		require.NoError(t, err)
		return c
	}
	for name, part := range map[string]func(c *Config) any{
		"Config":          func(c *Config) any { return c },
		"Settings":        func(c *Config) any { return c.Settings },
		"choice.Settings": func(c *Config) any { return c.Settings.Settings },
		"Track":           func(c *Config) any { return c.Settings.Tracks["c"] },
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
			case choice.Effect, choice.Group:
				f.SetUint(f.Uint() + 1)
			case map[string]*choice.Track, map[string]*choice.Plan:
				f.SetZero()
			default:
				continue // a part that has its own turn
			}
			if keys := read().Fixed(other); free[field] {
				require.Empty(t, keys, "%s.%s", name, field)
			} else {
				require.Len(t, keys, 1, "%s.%s", name, field)
			}
		}
	}
}

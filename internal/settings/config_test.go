package settings

import (
	"slices"
	"strings"
	"testing"
)

const validConfig = `{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","counter":"127.0.0.1:3",` +
	`"seed":"ff","limits":{"memory_mb":192,"sockets":1024},"known":{"generation":1},"settings":{"balancers":1,"classes":` +
	`[{"name":"c","aim":1,"effect":"free","group":"all"}],"tariffs":[{"name":"p","rate":5,"most-at-once":10}],` +
	`"family-info":{"has-counter":true,"count-wait":0.05,"units-top":4},"contract":{"cold-from":0.3,"warm-within":10},` +
	`"permissions":{"attempts-cap":3,"dial-timeout":0.25,"idle-close":15},"granularity":0.004}}`

func TestDecodeConfig(t *testing.T) {
	c, err := DecodeConfig([]byte(validConfig))
	if err != nil || c.Seed != 255 || c.Memory != 192<<20 || c.Settings.IdleClose != 15e9 ||
		c.Settings.CounterTimeout != 5e7 {
		t.Fatalf("config %+v, error %v", c, err)
	}
	if p, class := c.Settings.Plans["p"], c.Settings.Classes["c"]; p.MaxInFlight != 0 || class.PriorityWeight != 1 {
		t.Fatalf(
			"without the keys parallel and worth: a limit of %v attempts in flight and a weight of %v",
			p.MaxInFlight,
			class.PriorityWeight,
		)
	}
	changed := strings.Replace(
		strings.Replace(validConfig, `"rate":5`, `"parallel":3`, 1), `"aim":1`, `"aim":1,"worth":5`, 1,
	)
	c, err = DecodeConfig([]byte(changed))
	if err != nil || c.Settings.Plans["p"].MaxInFlight != 3 || c.Settings.Classes["c"].PriorityWeight != 5 {
		t.Fatalf("config %+v, error %v", c, err)
	}
	for _, c := range []struct{ name, old, new, want string }{
		{"an array", validConfig, `[]`, "array"},
		{"no settings", `"settings":{`, `"other":{`, "settings: missing"},
		{"an unknown effect", `"free"`, `"dear"`, "settings: classes: c"},
		{"a latency objective of 0", `"aim":1`, `"aim":0`, "settings: classes: c: aim"},
		{"a negative rate", `"rate":5`, `"rate":-5`, "settings: tariffs: p: rate"},
		{"a negative limit in flight", `"most-at-once":10`, `"most-at-once":10,"parallel":-1`,
			"settings: tariffs: p: parallel"},
		{"a fractional limit in flight", `"most-at-once":10`, `"most-at-once":10,"parallel":2.5`,
			"settings: tariffs: p: parallel"},
		{"a limit in flight that is not a number", `"most-at-once":10`, `"most-at-once":10,"parallel":"x"`, "parallel"},
		{"a negative weight", `"aim":1`, `"aim":1,"worth":-1`, "settings: classes: c: worth"},
		{"no dial timeout", `"dial-timeout":0.25,`, "", "settings: permissions: dial-timeout: missing"},
		{"no listen address", `"listen":"127.0.0.1:1",`, "", "listen"},
		{"an address without a port", `"127.0.0.1:2"`, `"127.0.0.1"`, "discovery"},
		{"no address of the counter in the settings", `"counter":"127.0.0.1:3",`, "", "counter: missing"},
		{"a seed that is not a number", `"ff"`, `"xy"`, "seed"},
		{"no memory", `"memory_mb":192,`, "", "limits: memory_mb"},
		{"a position beyond the limiters", `"balancers":1`, `"balancers":1,"position":1`, "settings: position"},
		{"polled discovery without a poll interval", `"granularity"`, `"registry-mode":"on_request","granularity"`,
			"contract: ask-every"},
		{"too few sockets", `1024`, `8`, "limits: sockets"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := DecodeConfig([]byte(strings.Replace(validConfig, c.old, c.new, 1)))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("error %v, want %s", err, c.want)
			}
		})
	}
}

func TestNeedRestart(t *testing.T) {
	const plan, class, counter = "settings: tariffs: ", "settings: classes: ", "settings: family-info: count-wait"
	for _, c := range []struct {
		old, new string
		want     []string
	}{
		{"127.0.0.1:2", "127.0.0.1:5", nil},
		{"127.0.0.1:3", "127.0.0.1:5", nil},
		{"127.0.0.1:1", "127.0.0.1:5", []string{"listen"}},
		{`"n"`, `"m"`, []string{"name"}},
		{"1024", "512", []string{"limits: sockets"}},
		{`"rate":5`, `"rate":6`, []string{plan + "p"}},
		{`"rate":5,"most-at-once":10`, `"rate":0`, []string{plan + "p"}},
		{`"name":"p"`, `"name":"q"`, []string{plan + "p", plan + "q"}},
		{`"name":"c","aim":1`, `"name":"d","aim":1`, []string{class + "c", class + "d"}},
		{`[{"name":"c"`, `[{"name":"b","aim":1,"effect":"free"},{"name":"c"`, []string{class + "b"}},
		{`"aim":1,"effect":"free"`, `"aim":2,"effect":"single_shot"`, []string{class + "c"}},
		{`"127.0.0.1:3"`, `""`, []string{"counter", counter}},
		{`"seed":"ff","limits":{"memory_mb":192`, `"seed":"fe","limits":{"memory_mb":191`,
			[]string{"seed", "limits: memory_mb"}},
		{`"name":"n","listen":"127.0.0.1:1"`, `"name":"m","listen":"127.0.0.1:9"`, []string{"name", "listen"}},
	} {
		t.Run(c.new, func(t *testing.T) {
			current, err := DecodeConfig([]byte(validConfig))
			text := strings.Replace(validConfig, c.old, c.new, 1)
			if c.new == `""` { // settings with a counter require its address
				text = strings.Replace(text, `"has-counter":true`, `"has-counter":false`, 1)
			}
			other, otherErr := DecodeConfig([]byte(text))
			if err != nil || otherErr != nil || !slices.Equal(current.NeedRestart(other), c.want) {
				t.Fatalf("errors %v, %v, need a restart for %q", err, otherErr, current.NeedRestart(other))
			}
		})
	}
}

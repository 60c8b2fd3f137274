package kit

import (
	"encoding/json"
	"fmt"
	"time"
)

// Limiter is the configuration of a limiter of a small deployment, by the figures of the ennis-alignment brief where it
// has them.
type Limiter struct {
	Number    int // among Limiters
	Limiters  int
	Listen    string
	Discovery string
	Counter   string
	Known     List
	Polled    bool    // lists are asked for
	AskEvery  float64 // seconds
}

// Write writes the limiter's configuration file and returns its path.
func (l *Limiter) Write(c *Case) (path string) {
	known, err := json.Marshal(l.Known)
	c.Must(err)
	mode, askEvery := "pushed", 10.0
	if l.Polled {
		mode, askEvery = "on_request", l.AskEvery
	}
	name := l.name()
	text := fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"counter":%q,"seed":"8c1f30d27a5be96%d",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,
 "settings":{"balancers":%d,"position":%d,"registry-mode":%q,
  "classes":[{"name":"fetch","aim":0.8,"deadline":2.5,"effect":"free","group":"all","worth":1},
             {"name":"commit","aim":2.0,"deadline":8.0,"effect":"single_shot","group":"all","worth":2}],
  "tariffs":[{"name":"group","rate":400,"most-at-once":800,"value-factor":1.0,"beyond-costs":0.5}],
  "family-info":{"has-counter":true,"count-wait":0.05,"units-top":6},
  "contract":{"ask-every":%g,"cold-from":0.23,"warm-within":15.0,"stop-sending-within":0.25,"grace-to-answer":0.016},
  "permissions":{"attempts-cap":3,"cancelling":true,"dial-timeout":0.25,"idle-close":15.0,"max-retry-after":2.0,
   "probes":false,"retry-after":true,"second-copies":false},
  "granularity":0.004}}`, name, l.Listen, l.Discovery, l.Counter, l.Number, known, l.Limiters, l.Number, mode, askEvery)
	return c.File(name+".json", text)
}

func (l *Limiter) name() string { return fmt.Sprintf("n%d", l.Number) }

// Start writes the configuration, starts a limiter with the line run of the deploy file and waits until it answers PING.
func (l *Limiter) Start(c *Case, operatorFile string) *Process {
	name := l.name()
	environment := []string{"GW_NAME=" + name, "GW_LISTEN=" + l.Listen, "GW_DISCOVERY=" + l.Discovery,
		"GW_CONFIG=" + l.Write(c), "TMPDIR=" + c.Folder("tmp-"+name)}
	if operatorFile != "" {
		environment = append(environment, "GW_OPERATOR="+operatorFile)
	}
	p := c.Start(name, c.DeployRun(), environment...)
	ready := c.Await(30*time.Second, func() bool {
		client, err := Dial(l.Listen)
		if err != nil {
			return false
		}
		defer client.Close()
		answer, err := client.Send(time.Second, "PING")
		return err == nil && answer == "+PONG"
	})
	if !ready {
		c.Cannot("%s is not ready: %s", name, p.Output())
	}
	c.Log("%s answers PING", name)
	return p
}

// Command review2-refusal plays a publication that a limiter refuses, ordinary publications behind it, and the one that
// mends it.
package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"syscall"
	"time"

	"reviewsecond/kit"
)

func main() { kit.Main(play) }

const (
	wait = 20 * time.Second
	// inForce is how long a publication may take until it is in force: the pages' 18 s, and the 30 s for which a version
	// that was refused is not tried again.
	inForce = 48 * time.Second
	// Ordinary publications: tenants of about 340 bytes, as many as a change may have.
	publications, tenants, tenantBytes = 4, 256, 250
)

func play(c *kit.Case) (ruleBroken bool) {
	servers := []kit.Entry{kit.NewServer(c, "s-1", 5*time.Millisecond).Entry(), kit.NewServer(c, "s-2", 5*time.Millisecond).Entry()}
	old, moved := kit.NewDiscovery(c, servers), kit.NewDiscovery(c, servers)
	counter, source := kit.StartCounter(c), c.Address()
	c.Start("source", fmt.Sprintf("exec bin/configdist source --dir %s --listen %s", c.Folder("source"), source))
	var relays []string
	for _, zone := range []string{"a", "b"} {
		relay := c.Address()
		relays = append(relays, relay)
		c.Start("relay-"+zone, fmt.Sprintf("exec bin/configdist relay --zone %s --name r --source %s --listen %s", zone, source, relay))
	}
	publish := func(what string) {
		if _, status := c.Run(fmt.Sprintf("exec bin/configdist publish --source %s %s", source, what)); status != 0 {
			c.Cannot("a publication was not accepted")
		}
	}
	if !c.Await(wait, func() bool {
		_, status := c.Run(fmt.Sprintf("exec bin/configdist status --source %s", source))
		return status == 0
	}) {
		c.Cannot("the source does not serve")
	}
	publish("--kind endpoints --key discovery --value " + old.Address)
	operator := c.File("operator.toml", fmt.Sprintf("[distribution]\nrelays = [%q, %q]\n", relays[0], relays[1]))
	listen := c.Address()
	configuration := kit.Limiter{Listen: listen, Limiters: 1, Discovery: old.Address, Counter: counter, Known: old.Whole()}
	limiter := configuration.Start(c, operator)
	confirmed := fmt.Sprintf("exec bin/configdist status --source %s --limiters 1", source)
	if !c.Await(wait, func() bool { _, status := c.Run(confirmed); time.Sleep(time.Second); return status == 0 }) {
		c.Cannot("the first publication is not in force: %s", limiter.Output())
	}

	if c.Trouble {
		publish("--kind endpoints --key metrics --value 127.0.0.1:9")
		if !limiter.AwaitOutput("event=config-refused", 1, wait) {
			c.Cannot("the limiter did not refuse")
		}
	}
	for i := range publications {
		publish("--file " + c.File(fmt.Sprintf("tenants-%d.json", i), tenantsFile(c, i)))
	}
	if c.Trouble {
		publish("--kind endpoints --key metrics --delete")
	}
	publish("--kind endpoints --key discovery --value " + moved.Address)
	published := time.Now()
	came := c.Await(inForce, func() bool { return len(moved.Calls()) > 0 })
	c.Log("%.1f s after the last publication: the new discovery has got %d calls, the old one %d, the last one %.1f s ago",
		time.Since(published).Seconds(), len(moved.Calls()), len(old.Calls()), time.Since(last(old)).Seconds())
	c.Run(confirmed)
	c.Log("the limiter has logged config-refused %d times", strings.Count(limiter.Output(), "event=config-refused"))
	limiter.End(syscall.SIGTERM)
	c.Log("the limiter took %.2f s of processor time", limiter.ProcessorTime().Seconds())
	return !came
}

// last is when a discovery got its last call.
func last(d *kit.Discovery) time.Time {
	calls := d.Calls()
	if len(calls) == 0 {
		return time.Time{}
	}
	return calls[len(calls)-1].Came
}

// tenantsFile is a file of a publication of tenants.
func tenantsFile(c *kit.Case, number int) string {
	type entry struct {
		Kind  string `json:"kind"`
		Name  string `json:"name"`
		Value string `json:"value"`
	}
	var entries []entry
	for i := range tenants {
		name := fmt.Sprintf("tenant-%03d-%04d", number, i)
		entries = append(entries, entry{"tenants", name, strings.Repeat("x", tenantBytes)})
	}
	text, err := json.Marshal(entries)
	c.Must(err)
	return string(text)
}

// Command review2-onedir plays a source that is started a second time under the same name and folder while the first
// process still runs.
package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"reviewsecond/kit"
)

func main() { kit.Main(play) }

const wait = 20 * time.Second

func play(c *kit.Case) (ruleBroken bool) {
	folder := c.Folder("state")
	start := func(name, address string) *kit.Process {
		p := c.Start(name, fmt.Sprintf("exec bin/configdist source --dir %s --listen %s", folder, address))
		if !c.Await(wait, func() bool { return stateOf(address) != "" }) {
			c.Cannot("%s does not serve: %s", name, p.Output())
		}
		return p
	}
	earlierAddress, laterAddress := c.Address(), c.Address()
	earlier := start("earlier-source", earlierAddress)
	publish(c, earlierAddress, "a", "rate=1")
	if !c.Trouble {
		earlier.End(syscall.SIGTERM)
	}
	later := start("later-source", laterAddress)
	if !publish(c, laterAddress, "b", "rate=2") {
		c.Cannot("the later source refuses a publication")
	}
	c.Log("later source: %s", stateOf(laterAddress))
	if c.Trouble {
		publish(c, earlierAddress, "c", "rate=3")
	}
	later.End(syscall.SIGTERM)
	start("later-source", laterAddress)
	state := stateOf(laterAddress)
	c.Log("later source, started again: %s", state)
	if strings.Contains(state, `"name":"b","value":"rate=2"`) {
		return false
	}
	c.Log("the publication that the later source has answered as accepted is not in its state")
	return true
}

// publish publishes a value at a source and reports whether the source accepted it.
func publish(c *kit.Case, source, key, value string) (accepted bool) {
	_, status := c.Run(fmt.Sprintf(
		"exec bin/configdist publish --source %s --kind plans --key %s --value %s", source, key, value))
	return status == 0
}

// stateOf returns the first piece of a server's state as it is on the wire, without its age; empty if there is none.
func stateOf(address string) string {
	response, err := http.Get("http://" + address + "/v1/pieces")
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return ""
	}
	state, _, _ := strings.Cut(string(text), `,"last"`)
	return state
}

// Command review2-fence plays a replaced source of the configuration distribution that is restarted.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"reviewsecond/kit"
)

func main() { kit.Main(play) }

const wait = 20 * time.Second

func play(c *kit.Case) (ruleBroken bool) {
	// The first source, a relay that follows the address of the service, and a publication.
	first, firstDir := c.Address(), c.Folder("first")
	startFirst := func() *kit.Process {
		p := c.Start("first-source", fmt.Sprintf("exec bin/configdist source --dir %s --listen %s", firstDir, first))
		if !c.Await(wait, func() bool { return versionOf(first) != "" }) {
			c.Cannot("the first source does not serve: %s", p.Output())
		}
		return p
	}
	source := startFirst()
	service := kit.NewProxy(c, first)
	relay := c.Address()
	c.Start("relay", fmt.Sprintf("exec bin/configdist relay --zone a --name r --source %s --listen %s", service.Address, relay))
	publish(c, first, "rate=1", 0)
	awaitRelay(c, relay, versionOf(first))

	// Its machine is cut off. A second source goes on from a copy of its state, in the next epoch.
	service.Point("")
	c.Log("the first source is cut off from the address of the service")
	second, secondDir := c.Address(), c.Folder("second")
	if text, err := exec.Command("cp", "-r", firstDir+"/.", secondDir).CombinedOutput(); err != nil {
		c.Cannot("copy: %v %s", err, text)
	}
	c.Start("second-source", fmt.Sprintf("exec bin/configdist source --dir %s --listen %s", secondDir, second))
	if !c.Await(wait, func() bool { return versionOf(second) != "" }) {
		c.Cannot("the second source does not serve")
	}
	service.Point(second)
	publish(c, second, "rate=2", 0)
	newest := versionOf(second)
	awaitRelay(c, relay, newest)
	c.Log("relay: %s", stateOf(relay))

	// The address of the service shows the first source once more: the relay asks it from a version of the higher epoch.
	service.Point(first)
	if !c.Await(wait, func() bool { return service.Asked("epoch=2") }) {
		c.Cannot("the relay did not ask the first source")
	}
	time.Sleep(500 * time.Millisecond)
	service.Point(second)
	c.Log("the relay has asked the first source from epoch 2")
	publish(c, first, "rate=3", 1)

	if c.Trouble {
		source.End(syscall.SIGKILL)
		startFirst()
	}
	output, status := c.Run(publication(first, "rate=4"))
	if status != 0 {
		return false
	}
	c.Log("the replaced source has accepted a publication: %s", strings.TrimSpace(output))
	c.Log("first source: %s", stateOf(first))
	c.Log("second source: %s", stateOf(second))
	service.Point(first)
	c.Await(5*time.Second, func() bool { return strings.Contains(stateOf(relay), "rate=4") })
	c.Log("relay, once it reaches the first source again: %s", stateOf(relay))
	return true
}

// publication is the command that publishes a value at a source.
func publication(source, value string) string {
	return fmt.Sprintf("exec bin/configdist publish --source %s --kind plans --key group --value %s", source, value)
}

// publish publishes a value and expects a status.
func publish(c *kit.Case, source, value string, want int) {
	if _, status := c.Run(publication(source, value)); status != want {
		c.Cannot("the status of the publication is %d, not %d", status, want)
	}
}

// stateOf returns the first piece of a server's state as it is on the wire, without its age.
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

// versionOf returns the version of a server, empty if it has none.
func versionOf(address string) string {
	var piece struct {
		Version struct{ Epoch, Number uint64 }
	}
	if json.Unmarshal([]byte(stateOf(address)+"}"), &piece) != nil || piece.Version.Epoch == 0 {
		return ""
	}
	return fmt.Sprintf("%d.%d", piece.Version.Epoch, piece.Version.Number)
}

// awaitRelay waits until the relay has a version.
func awaitRelay(c *kit.Case, relay, version string) {
	if !c.Await(wait, func() bool { return versionOf(relay) == version }) {
		c.Cannot("the relay has %s, not %s", versionOf(relay), version)
	}
	c.Log("the relay has version %s", version)
}

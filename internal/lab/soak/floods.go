package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"ospreycroft/internal/lab/experiment"
	"ospreycroft/internal/lab/flood"
	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/lab/loadgen"
	"ospreycroft/internal/resp"
)

// Flooding clients send what costs a limiter most for each byte. Some read what they are sent before they go on; their
// valid requests are recorded and judged like any others. The others send at full speed and may read nothing.

const (
	maxFloodingClients  = 4                // that are drawn for a seed
	fullSpeedShare      = 0.5              // share of the floods that wait for no answers
	maxFullSpeedSenders = 12               // connections of one of these
	floodedSeedShare    = 0.4              // share of seeds with flooding clients
	floodLength         = time.Second      // of one flood
	floodCommands       = 300              // commands that are sent at once
	pieceBytes          = 100              // size of the pieces of a flood in pieces
	floodReadTimeout    = 10 * time.Second // for the answers to what was sent at once
	usualTimeout        = 2500 * time.Millisecond
	enormousTimeout     = 999999999 * time.Millisecond
)

// drawFloodingClients draws the number of flooding clients. Like drawQuiet it needs a random generator of its own.
func drawFloodingClients(rng *rand.Rand) int {
	if rng.Float64() >= floodedSeedShare {
		return 0
	}
	return 1 + rng.IntN(maxFloodingClients)
}

// pacedFlood is what a flooding client sends at once, again and again, each time once it is answered.
type pacedFlood struct {
	name   string
	pieces bool // it is written in pieces
	text   func(c *extraClients, limiter int) floodText
}

// floodText is what is sent at once.
type floodText struct {
	bytes    []byte
	answers  int               // that are owed
	requests []history.Request // the requests in it, if all are valid; otherwise none
}

// floods are all paced floods.
var floods = []pacedFlood{
	{"customers never seen again", false, func(c *extraClients, limiter int) floodText {
		return c.floodRequests(limiter, usualTimeout, func(number int64) string {
			return fmt.Sprintf("%016x", 1<<28+number)
		})
	}},
	{"an enormous time", false, func(c *extraClients, limiter int) floodText {
		return c.floodRequests(limiter, enormousTimeout, func(int64) string { return fmt.Sprintf("%016x", 0xbad) })
	}},
	{"a long list of fields", false, longFieldList},
	{"a long list of fields in pieces", true, longFieldList},
	{"many pings", false, func(*extraClients, int) floodText {
		return floodText{bytes: bytes.Repeat([]byte("*1\r\n$4\r\nPING\r\n"), floodCommands), answers: floodCommands}
	}},
}

// floodRequests returns requests of the idempotent class, each with the customer for its number.
func (c *extraClients) floodRequests(
	limiter int, timeout time.Duration, customer func(number int64) string,
) (text floodText) {
	e := c.scenario.Experiment
	_, clock := c.lab.Record()
	for range floodCommands {
		number := c.nextID.Add(1)
		request := history.Request{
			ID: fmt.Sprintf("f%015x", number), Customer: customer(number), Plan: "team", Class: "fetch", Units: 1,
			Limiter: limiter, Sent: clock.Now(), Deadline: clock.Now() + int64(timeout),
		}
		sender := experiment.Customer{ID: request.Customer, Plan: request.Plan, Spread: 1, First: limiter}
		text.bytes = append(text.bytes, loadgen.Command(e, &request, sender, timeout)...)
		text.requests = append(text.requests, request)
	}
	return text
}

// longFieldList returns a request of an unknown class whose list of fields is as long as a value may be.
func longFieldList(*extraClients, int) floodText {
	var list strings.Builder
	list.WriteString("c=none,t=team,d=2000,units=1,spread=1,first=0")
	for i := 0; list.Len() < resp.MaxValueBytes-16; i++ {
		_, _ = fmt.Fprintf(&list, ",z%x=1", i)
	}
	command := resp.AppendCommand(nil, []byte("SVC.QUERY"), []byte("0000000000000bad"), []byte("long"),
		[]byte(list.String()))
	return floodText{bytes: command, answers: 1}
}

// sendFlood connects to a limiter and floods it for a while.
func (c *extraClients) sendFlood(rng *rand.Rand) {
	limiter := rng.IntN(c.scenario.Experiment.Limiters.Count)
	conn := c.dial(limiter)
	if conn == nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if rng.Float64() < fullSpeedShare {
		c.sendAtFullSpeed(rng, limiter)
		return
	}
	chosen := floods[rng.IntN(len(floods))]
	in := bufio.NewReader(conn)
	reused := false
	for end := time.Now().Add(floodLength); time.Now().Before(end); reused = true {
		text := chosen.text(c, limiter)
		if len(text.requests) > 0 {
			if !c.recordFlood(conn, limiter, text, reused) || c.waitOrStopped(0) {
				return
			}
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(floodReadTimeout))
		if err := chosen.write(conn, text.bytes); err != nil {
			return
		}
		for range text.answers {
			if err := skipAnswer(in); err != nil {
				return
			}
		}
		if c.waitOrStopped(0) {
			return
		}
	}
}

// sendAtFullSpeed floods a limiter from a process of its own with commands that are not recorded.
func (c *extraClients) sendAtFullSpeed(rng *rand.Rand, limiter int) {
	options := flood.Options{
		Launcher: c.launcher, Clients: 1 + rng.IntN(maxFullSpeedSenders), Length: floodLength, Unread: rng.IntN(2) == 0,
	}
	kind := flood.Kinds[rng.IntN(len(flood.Kinds))]
	for kind.Valid { // the rules are judged by the records of requests
		kind = flood.Kinds[rng.IntN(len(flood.Kinds))]
	}
	sender, err := flood.StartSenders(c.lab.Address(limiter), kind, &options)
	if err == nil {
		_ = sender.Wait()
	}
}

// recordFlood sends requests, waits for the answers and records them. reused says that the connection has carried
// requests before: the limiter may close it between requests, and what crosses with that is sent once more on a new
// connection. recordFlood reports whether the connection can be used again.
func (c *extraClients) recordFlood(conn net.Conn, limiter int, text floodText, reused bool) bool {
	book, clock := c.lab.Record()
	loadgen.Pipeline(conn, clock, text.bytes, text.requests)
	crossed := reused && text.requests[0].Outcome == history.ConnectionBroken
	if crossed {
		if !c.resend(limiter, text) {
			return false
		}
	}
	for i := range text.requests {
		book.AddRequest(text.requests[i])
	}
	last := text.requests[len(text.requests)-1].Outcome
	return !crossed && (last == history.Succeeded || last == history.Rejected)
}

// resend sends requests of which none was answered once more. It returns false if the limiter takes no connections, so
// that none of them counts as sent.
func (c *extraClients) resend(limiter int, text floodText) bool {
	conn := c.dial(limiter)
	if conn == nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_, clock := c.lab.Record()
	for i := range text.requests {
		request := &text.requests[i]
		request.Resent = true
		request.Deadline += clock.Now() - request.Sent
		request.Sent = clock.Now()
	}
	loadgen.Pipeline(conn, clock, text.bytes, text.requests)
	return true
}

// write writes a text whole or in pieces.
func (f pacedFlood) write(conn net.Conn, text []byte) error {
	size := len(text)
	if f.pieces {
		size = pieceBytes
	}
	for len(text) > 0 {
		n, err := conn.Write(text[:min(size, len(text))])
		if err != nil {
			return err
		}
		text = text[n:]
	}
	return nil
}

// skipAnswer reads a line, and the value behind it if it is the header of one.
func skipAnswer(in *bufio.Reader) error {
	line, err := in.ReadString('\n')
	if err != nil {
		return err
	}
	var size int
	if _, err := fmt.Sscanf(line, "$%d\r\n", &size); err != nil {
		return nil // a line alone
	}
	_, err = io.CopyN(io.Discard, in, int64(size+len("\r\n")))
	return err
}

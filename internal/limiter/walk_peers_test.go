package limiter

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"ospreycroft/internal/resp"
)

// This file is what the servers, the counter and discovery of a walk do.

// reads has the other side read what the kernel has taken.
func (w *walkWorld) reads(c *walkConn) {
	switch {
	case c.address == "" || c.ended:
	case strings.HasPrefix(c.address, walkCounter):
		w.readLines(c, "\r\n")
	case strings.HasPrefix(c.address, walkDiscovery):
		w.readLines(c, "\r\n\r\n")
	default:
		w.readCommands(c)
	}
}

func (w *walkWorld) readLines(c *walkConn, end string) {
	for {
		line, _, whole := strings.Cut(string(c.written[c.read:c.taken]), end)
		if !whole {
			return
		}
		c.calls = append(c.calls, line)
		c.read += len(line) + len(end)
	}
}

// readCommands has a server read what it got. What must run once is not read twice, and with an idempotency key only
// as long as servers know it again.
func (w *walkWorld) readCommands(c *walkConn) {
	for c.read < c.taken {
		words, n, err := resp.ReadCommand(c.written[c.read:c.taken], nil)
		if err != nil || n == 0 {
			return
		}
		c.read += n
		attempt := &walkAttempt{at: w.now, refused: c.turnsAway}
		c.turnsAway = false
		if !attempt.refused {
			c.working = append(c.working, attempt)
		}
		if string(words[0]) == "SELECT" {
			continue
		}
		attempt.request = w.requests[string(words[wordID])]
		if attempt.request.command.answer != "" {
			w.fail("%s becomes whole behind its answer", attempt.request.id)
		}
		w.checkRepeat(attempt)
		attempt.request.attempts = append(attempt.request.attempts, attempt)
	}
}

func (w *walkWorld) checkRepeat(attempt *walkAttempt) {
	q := attempt.request
	for _, earlier := range q.attempts {
		switch {
		case earlier.refused || q.class == "read":
		case q.class == "write":
			w.fail("%s runs twice", q.id)
		case attempt.at > earlier.at+walkDeduplication:
			w.fail("%s runs again %d ms later", q.id, (attempt.at-earlier.at)/1e6)
		}
	}
}

// answersEarly has a server turn away a command of which it has a part.
func (w *walkWorld) answersEarly(c *walkConn) {
	if !c.turnsAway {
		c.turnsAway = true
		c.coming = append(c.coming, "-BUSY\r\n"...)
	}
}

// answersCommand has a server answer the oldest command that it works on, well or not.
func (w *walkWorld) answersCommand(c *walkConn) {
	attempt := c.working[0]
	c.working = c.working[1:]
	if attempt.request == nil {
		c.coming = append(c.coming, "+OK\r\n"...)
		return
	}
	value := string(resp.AppendBulk([]byte("*3\r\n"), []byte(attempt.request.id)))
	served := value + "$-1\r\n$-1\r\n"
	answers := []string{served, served, served, value + "$6\r\ncost=3\r\n$-1\r\n"}
	if w.badServers {
		answers = append(answers, "-BUSY inflight=7\r\n", "-ERR failed\r\n", "nonsense\r\n", served+served)
	}
	answer := answers[w.random.IntN(len(answers))]
	attempt.refused = strings.HasPrefix(answer, "-BUSY")
	c.coming = append(c.coming, answer...)
}

// answersCall has the counter or discovery answer the oldest call.
func (w *walkWorld) answersCall(c *walkConn) {
	call := c.calls[0]
	c.calls = c.calls[1:]
	switch {
	case strings.HasPrefix(c.address, walkDiscovery):
		c.coming = append(c.coming, httpAnswer(w.list(strings.HasPrefix(call, "GET /discovery/hosts HTTP")))...)
	case call == "ping":
		c.coming = append(c.coming, "pong\r\n"...)
	default:
		replies := []string{"ok 2\r\n", "ok 2\r\n", "ok 2\r\n", "ok 2\r\n"}
		if w.badCounter {
			replies = append(replies, "ok 50\r\n", "ok 99999\r\n", "ok -3\r\n", "busy\r\n", "error\r\n", "spoilt\r\n")
		}
		c.coming = append(c.coming, replies[w.random.IntN(len(replies))]...)
	}
}

// list is an answer of discovery: changes to some servers, or all of them.
func (w *walkWorld) list(whole bool) string {
	w.version++
	servers := slices.Sorted(maps.Keys(w.states))
	if !whole {
		one := servers[w.random.IntN(len(servers))]
		w.states[one] = []string{"in_service", "in_service", "in_service", "terminating", "terminated"}[w.random.IntN(5)]
		servers = []string{one}
	}
	entries := make([]string, len(servers))
	for i, server := range servers {
		entries[i] = fmt.Sprintf(`{"instanceId":%q,"hostPort":"%s:9","lifecycle":%q,"weight":1}`, server, server, w.states[server])
	}
	return fmt.Sprintf(`{"generation":%d,"reset":%t,"instances":[%s]}`, w.version, whole, strings.Join(entries, ","))
}

package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"ospreycroft/review/standin"
)

// Case 2: a few clients send n0 requests of a class that does not exist, with a long list of names.
const (
	badClients  = 16
	badFrom     = 8 * time.Second
	badUntil    = 20 * time.Second
	badEnd      = 24 * time.Second
	longestWait = 10 * time.Second
	// lateAfter: a request is lost if its answer comes later than this after its time, or never. The page has half a
	// second, and 50 ms on sockets.
	lateAfter = 550 * time.Millisecond
)

// badCommand is a request of an unknown class, whose list of names and values is as long as a value may be.
func badCommand(id string) []byte {
	var list strings.Builder
	list.WriteString("c=no-such-class,t=group,d=2000,units=1,spread=1,first=0")
	for i := 0; list.Len() < 64<<10-16; i++ {
		fmt.Fprintf(&list, ",z%x=1", i)
	}
	return standin.AppendCommand(nil, "SVC.QUERY", "00000000000000ba", id, list.String())
}

// sendBad is one bad client: it sends its command, reads the answer, and sends the same again as soon as it is turned
// away.
func sendBad(w *world, client int, stop time.Duration) {
	command := badCommand(fmt.Sprintf("bad-%d", client))
	for w.record.Now() < stop {
		conn, err := net.DialTimeout("tcp", w.limiters[0].Address, longestWait)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		in := bufio.NewReader(conn)
		for w.record.Now() < stop {
			begun := time.Now()
			if _, err := conn.Write(command); err != nil {
				break
			}
			_ = conn.SetReadDeadline(time.Now().Add(longestWait))
			kind, text, err := standin.ReadAnswer(in)
			w.record.Linef("bad client %d: %d bytes, took=%.3fs end=%s %q", client, len(command), time.Since(begun).Seconds(),
				kind, text)
			if err != nil {
				break
			}
		}
		_ = conn.Close()
	}
}

// playLongList judges the rule on lost requests: each request that a usual client has sent has an answer in its time.
func playLongList(w *world, trouble bool) (verdict, error) {
	usual := startLoad(usualRate, w.usual("u", 6))
	var bad sync.WaitGroup
	w.until(badFrom)
	if trouble {
		for i := range badClients {
			bad.Go(func() { sendBad(w, i, badUntil) })
		}
	}
	bad.Wait()
	w.until(badEnd)
	usual.end()
	results := w.results()
	if err := w.check(); err != nil {
		return verdict{}, err
	}
	taken, lost, longest := map[string]int{}, map[string]int{}, map[string]time.Duration{}
	for _, r := range results {
		if r.NotTaken {
			continue
		}
		taken[r.Limiter]++
		longest[r.Limiter] = max(longest[r.Limiter], r.Took)
		late := r.Took > r.Request.Timeout+lateAfter
		if r.Kind == "" || late {
			lost[r.Limiter]++
			w.record.Linef("LOST: id=%s of %s, d=%v, took %.3f s, end=%q", r.Request.ID, r.Limiter, r.Request.Timeout,
				r.Took.Seconds(), r.Kind)
		}
	}
	var text []string
	for _, l := range w.limiters {
		text = append(text, fmt.Sprintf("%s: %d requests taken, %d lost, longest %.2f s", l.Name, taken[l.Name],
			lost[l.Name], longest[l.Name].Seconds()))
	}
	if served := count(results, standin.Served); served < len(results)/4 {
		return verdict{}, fmt.Errorf("only %d of %d requests were served", served, len(results))
	}
	return verdict{lost["n0"]+lost["n1"]+lost["n2"] > 0, strings.Join(text, "; ")}, nil
}

// Package logsummary counts what the logs of many limiters say, over the whole fleet: what is rare in each of eighty
// limiters may be the largest loss of all.
package logsummary

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Row is one thing that limiters log: how often in all, at how many limiters, and the most at one of them.
type Row struct {
	Name     string
	Total    int64
	Limiters int
	Most     int64
	Where    string // the limiter with the most, the first by name
}

// Summary collects logs, one limiter's after the other.
type Summary struct {
	counts map[string]map[string]int64 // by what is counted, then by limiter
	names  []string
}

// New makes an empty summary.
func New() *Summary { return &Summary{counts: map[string]map[string]int64{}} }

var (
	event    = regexp.MustCompile(`event=(\S+)`)
	decision = regexp.MustCompile(`text="server \S+ ([^"]*)"`)
	figure   = regexp.MustCompile(`(\S+)=(\d+)`)
)

// Read takes one limiter's log. Lines without an event are passed over: others may write there too.
func (c *Summary) Read(limiter string, log io.Reader) error {
	c.names = append(c.names, limiter)
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		line := lines.Text()
		found := event.FindStringSubmatchIndex(line)
		if found == nil {
			continue
		}
		name := line[found[2]:found[3]]
		rest := line[found[1]:]
		switch name {
		case "requests", "closes", "input-errors", "turned-away": // lines of counts; the last is the older name of the third
			for _, f := range figure.FindAllStringSubmatch(rest, -1) {
				if n, err := strconv.ParseInt(f[2], 10, 64); err == nil && n > 0 {
					c.add(name+" "+f[1], limiter, n)
				}
			}
		case "decision":
			if what := decision.FindStringSubmatch(rest); what != nil {
				c.add("server "+what[1], limiter, 1)
				break
			}
			c.add(name, limiter, 1)
		default:
			c.add(name, limiter, 1)
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("%s: %w", limiter, err)
	}
	return nil
}

func (c *Summary) add(what, limiter string, n int64) {
	if c.counts[what] == nil {
		c.counts[what] = map[string]int64{}
	}
	c.counts[what][limiter] += n
}

// Rows are all counts, the largest first.
func (c *Summary) Rows() []Row {
	var rows []Row
	for what, by := range c.counts {
		r := Row{Name: what, Limiters: len(by)}
		for limiter, n := range by {
			r.Total += n
			if n > r.Most || n == r.Most && limiter < r.Where {
				r.Most = n
				r.Where = limiter
			}
		}
		rows = append(rows, r)
	}
	slices.SortFunc(
		rows,
		func(a, b Row) int { return cmp.Or(cmp.Compare(b.Total, a.Total), strings.Compare(a.Name, b.Name)) },
	)
	return rows
}

// Write prints the rows as a table.
func (c *Summary) Write(to io.Writer) error {
	_, err := fmt.Fprintf(
		to,
		"%d limiters\n%-32s %10s %9s %9s  %s\n",
		len(c.names),
		"what",
		"total",
		"limiters",
		"most",
		"at",
	)
	for _, r := range c.Rows() {
		if err == nil {
			_, err = fmt.Fprintf(to, "%-32s %10d %9d %9d  %s\n", r.Name, r.Total, r.Limiters, r.Most, r.Where)
		}
	}
	return err
}

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
	Name       string
	Total      int64
	Limiters   int
	Max        int64
	MaxLimiter string // the limiter with the most, the first by name
}

// Summary collects logs, one limiter's after the other.
type Summary struct {
	counts   map[string]map[string]int64 // by what is counted, then by limiter
	limiters []string
}

// New makes an empty summary.
func New() *Summary { return &Summary{counts: map[string]map[string]int64{}} }

var (
	eventPattern    = regexp.MustCompile(`event=(\S+)`)
	decisionPattern = regexp.MustCompile(`text="server \S+ ([^"]*)"`)
	countPattern    = regexp.MustCompile(`(\S+)=(\d+)`)
)

// Read takes one limiter's log. Lines without an event are passed over: others may write there too.
func (s *Summary) Read(limiter string, log io.Reader) error {
	s.limiters = append(s.limiters, limiter)
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		line := lines.Text()
		match := eventPattern.FindStringSubmatchIndex(line)
		if match == nil {
			continue
		}
		name := line[match[2]:match[3]]
		rest := line[match[1]:]
		switch name {
		case "requests", "closes", "input-errors", "turned-away": // lines of counts; the last is the older name of the third
			for _, count := range countPattern.FindAllStringSubmatch(rest, -1) {
				if n, err := strconv.ParseInt(count[2], 10, 64); err == nil && n > 0 {
					s.add(name+" "+count[1], limiter, n)
				}
			}
		case "decision":
			if text := decisionPattern.FindStringSubmatch(rest); text != nil {
				s.add("server "+text[1], limiter, 1)
				break
			}
			s.add(name, limiter, 1)
		default:
			s.add(name, limiter, 1)
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("%s: %w", limiter, err)
	}
	return nil
}

func (s *Summary) add(name, limiter string, n int64) {
	if s.counts[name] == nil {
		s.counts[name] = map[string]int64{}
	}
	s.counts[name][limiter] += n
}

// Rows are all counts, the largest first.
func (s *Summary) Rows() []Row {
	var rows []Row
	for name, byLimiter := range s.counts {
		r := Row{Name: name, Limiters: len(byLimiter)}
		for limiter, n := range byLimiter {
			r.Total += n
			if n > r.Max || n == r.Max && limiter < r.MaxLimiter {
				r.Max = n
				r.MaxLimiter = limiter
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
func (s *Summary) Write(to io.Writer) error {
	_, err := fmt.Fprintf(
		to,
		"%d limiters\n%-32s %10s %9s %9s  %s\n",
		len(s.limiters),
		"what",
		"total",
		"limiters",
		"most",
		"at",
	)
	for _, r := range s.Rows() {
		if err == nil {
			_, err = fmt.Fprintf(to, "%-32s %10d %9d %9d  %s\n", r.Name, r.Total, r.Limiters, r.Max, r.MaxLimiter)
		}
	}
	return err
}

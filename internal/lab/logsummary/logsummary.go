// Package logsummary counts log events over a whole fleet of limiters. An event that is rare in the log of each of
// eighty limiters may still be the largest cause of loss.
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

// Row is the count of one event, attribute or decision text in the logs.
type Row struct {
	Name       string
	Total      int64  // over all limiters
	Limiters   int    // number of limiters that logged it
	Max        int64  // largest count of one limiter
	MaxLimiter string // limiter with that count, the first by name if several have it
}

// Summary collects counts from the logs of many limiters. New makes one.
type Summary struct {
	counts   map[string]map[string]int64 // by row name, then by limiter
	limiters []string
}

// New returns an empty summary.
func New() *Summary { return &Summary{counts: map[string]map[string]int64{}} }

var (
	eventPattern    = regexp.MustCompile(`event=(\S+)`)
	decisionPattern = regexp.MustCompile(`text="server \S+ ([^"]*)"`)
	countPattern    = regexp.MustCompile(`(\S+)=(\d+)`)
)

// Read adds the log of one limiter. Lines without an event are skipped, since other programs may write to the same
// file. It returns the error of the reader, and fails on a line of more than 1 MiB.
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
		// Each attribute of these events is a count. turned-away is the former name of input-errors.
		case "requests", "closes", "input-errors", "turned-away":
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

// Rows returns all counts, the largest total first.
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

// Write prints the rows as a text table.
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

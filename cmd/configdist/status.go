package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"ospreycroft/internal/distribution"
	"ospreycroft/internal/distribution/transport"
)

// statusOptions are the flags of the status command.
type statusOptions struct {
	source   string
	limiters int
	timeout  time.Duration
}

func statusCommand() *cobra.Command {
	o := &statusOptions{}
	c := &cobra.Command{Use: "status", Short: "show which version is in force at how many limiters", Args: cobra.NoArgs,
		Long: "The exit status is 0 if the newest version is confirmed in force at all limiters that report, else 1.",
		RunE: func(c *cobra.Command, _ []string) error { return status(c.Context(), o, c.OutOrStdout()) }}
	c.Flags().StringVar(&o.source, "source", "127.0.0.1:7401", "address of the source")
	c.Flags().IntVar(&o.limiters, "limiters", 0, "how many limiters have to report; 0 for any number")
	c.Flags().DurationVar(&o.timeout, "timeout", 5*time.Second, "timeout of each call to the source")
	return c
}

// status prints the overview of the fleet. Errors: *NotInForceError, and those of transport.Client.
func status(ctx context.Context, o *statusOptions, out io.Writer) error {
	client := transport.NewClient(o.source, o.timeout)
	defer client.Close()
	head, err := fetchHead(ctx, client, o.timeout)
	if err != nil {
		return err
	}
	overview, err := client.Overview(ctx, o.timeout)
	if err != nil {
		return err
	}
	report, text := summarizeOverview(head, overview)
	if _, err := io.WriteString(out, text); err != nil {
		return err
	}
	if want := max(o.limiters, report.Limiters); report.InForce < want || report.Unconfirmed > 0 || report.Silent > 0 {
		report.Limiters = want
		return report
	}
	return nil
}

// summarizeOverview returns the counts of an overview and its text: a line of totals, and one for each relay, each
// refused version and each silent relay.
func summarizeOverview(head distribution.Version, overview distribution.Overview) (*NotInForceError, string) {
	report := &NotInForceError{Version: head, Silent: len(overview.Silent)}
	report.InForce, report.Limiters = overview.InForce(head)
	var lines strings.Builder
	oldest := head
	for _, relay := range overview.Relays {
		report.Unconfirmed += relay.Unconfirmed
		fmt.Fprintf(
			&lines,
			"relay=%s version=%v age_s=%.3f limiters=%d syncing=%d unconfirmed=%d older=%d\n",
			relay.Relay,
			relay.Version,
			float64(relay.Age)/1e9,
			relay.Limiters(),
			relay.Syncing,
			relay.Unconfirmed,
			relay.Older,
		)
		for _, count := range relay.Versions {
			if count.Version.Less(oldest) {
				oldest = count.Version
			}
		}
		for _, refusal := range relay.Refusals {
			fmt.Fprintf(
				&lines,
				"refused=%v relay=%s limiters=%d reason=%q\n",
				refusal.Version,
				relay.Relay,
				refusal.Limiters,
				refusal.Reason,
			)
		}
	}
	for _, name := range overview.Silent {
		fmt.Fprintf(&lines, "silent=%s\n", name)
	}
	totals := fmt.Sprintf(
		"version=%v in_force=%d limiters=%d unconfirmed=%d oldest=%v\n",
		head,
		report.InForce,
		report.Limiters,
		report.Unconfirmed,
		oldest,
	)
	return report, totals + lines.String()
}

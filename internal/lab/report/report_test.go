package report

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/lab/invariants"
)

// config is the limiters' settings in the sample run.
const config = `{"balancers":1,"granularity":0.004,"classes":[{"name":"fetch","aim":0.8,"effect":"free","group":"all"}],
 "tariffs":[{"name":"house","rate":10,"most-at-once":20,"hard-rate":12,"never-over-depth":20}],
 "family-info":{"units-top":6},"contract":{"cold-from":0.25,"warm-within":15},
 "permissions":{"attempts-cap":3,"dial-timeout":0.25,"idle-close":15}}`

// sampleRun returns a run of 3 s with 10 requests per second, every third of them rejected and the others with two
// attempts each.
func sampleRun() *history.Run {
	r := &history.Run{Name: "t", Length: 3e9, Settings: json.RawMessage(config)}
	for i := range 30 {
		at := int64(i) * 1e8
		id := string(rune('A' + i))
		outcome := history.Succeeded
		if i%3 == 0 {
			outcome = history.Rejected
		}
		r.Requests = append(r.Requests, history.Request{ID: id, Customer: "c1", Plan: "house", Class: "fetch", Units: 2,
			Sent: at, Answered: at + 2e7*int64(1+i%2), Deadline: at + 1e9, Outcome: outcome})
		if outcome == history.Succeeded {
			r.Attempts = append(
				r.Attempts,
				history.Attempt{ID: id, Server: "s1", At: at + 1e6, MayHaveRun: true, Answer: "done"},
				// a second attempt counts no units
				history.Attempt{ID: id, Server: "s2", At: at + 2e6, MayHaveRun: true, Answer: "done"},
			)
		}
	}
	r.Events = []history.Event{{At: 15e8, Kind: "drain", Target: "s1"}}
	return r
}

func TestBucketCountsEachRequestOncePerSecond(t *testing.T) {
	s := Bucket(sampleRun())
	if s.Seconds != 3 || s.Outcomes[history.Succeeded][0] != 6 || s.Outcomes[history.Rejected][2] != 3 {
		t.Fatalf("outcomes: %v", s.Outcomes)
	}
	if s.Units["c1"][0] != 12 || s.Units["c1"][1] != 14 {
		t.Fatalf("want units at first attempts only: %v", s.Units["c1"])
	}
	if s.P50[0] < 19 || s.P99[0] < 39 || s.P99[0] > 41 {
		t.Fatalf("percentiles: %v %v", s.P50, s.P99)
	}
}

func TestPageHasPlotsBreachesAndComparison(t *testing.T) {
	r := sampleRun()
	v := &invariants.Verdict{Pass: false, Breaches: []invariants.Breach{{Rule: 2, At: 1e9, What: "J", Detail: "twice"}}}
	var b bytes.Buffer
	if err := Write(
		&b, []Labelled{{"main", r, v}, {"branch", sampleRun(), &invariants.Verdict{Pass: true}}},
	); err != nil {
		t.Fatal(err)
	}
	page := b.String()
	for _, want := range []string{"Side by side", "Broken rules", "twice", "c1 ceiling", "drain"} {
		if !strings.Contains(page, want) {
			t.Errorf("page lacks %q", want)
		}
	}
	if n := strings.Count(page, "<svg"); n != 3*2+2 {
		t.Errorf("%d plots, want 8", n)
	}
	if strings.Contains(page, "<?xml") {
		t.Error("XML declaration inside the page")
	}
}

// The page shows requests without an answer and limiter processes that had an outage, and zeros if there were none.
func TestPageShowsUnansweredRequestsAndOutages(t *testing.T) {
	outages := sampleRun()
	outages.Limiters = 4
	for i := range 20 {
		at := int64(i) * 300e6
		outages.Requests = append(
			outages.Requests,
			history.Request{ID: fmt.Sprint("away", i), Customer: "c1", Plan: "house", Class: "fetch", Limiter: 2,
				Sent: at, Answered: at + 1e6, Deadline: at + 1e9, Outcome: history.Rejected},
		)
	}
	outages.Requests = append(
		outages.Requests,
		history.Request{ID: "lost", Customer: "c1", Plan: "house", Class: "fetch", Limiter: 3, Sent: 1,
			Answered: 12e8, Deadline: 1e9, Outcome: history.Unanswered},
	)
	for _, c := range []struct {
		run  *history.Run
		want []string
	}{
		{outages, []string{"0 late, 1 lost", "<td>3</td><td>alive</td><td>0</td><td>1</td>", "2 of 4 limiters, a share of 0.500",
			`<p class="fail">2 of 4`, "rolling restarts is 0.100", "<td>2</td><td>1</td><td>rejecting</td><td>0.000</td><td>5.701</td><td>20</td>",
			"<td>3</td><td>1</td><td>silent</td>"}},
		{sampleRun(), []string{"0 late, 0 lost", "<p>0 of 0 limiters"}},
	} {
		var b bytes.Buffer
		if err := Write(&b, []Labelled{{"main", c.run, &invariants.Verdict{}}}); err != nil {
			t.Fatal(err)
		}
		for _, want := range c.want {
			if !strings.Contains(b.String(), want) {
				t.Errorf("page lacks %q", want)
			}
		}
	}
}

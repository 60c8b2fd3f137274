package limiter

import (
	"bytes"
	"strconv"

	"ospreycroft/choice"
	"ospreycroft/internal/resp"
)

// maxReportValue is the largest figure of a load report that is believed, the protocol's largest amount.
const maxReportValue = 1e9

// decodeAnswer tells what a server's answer means and its value: the true units, so many at most, and the load report
// where it gives them.
func decodeAnswer(v resp.Value, maxUnits float64) (reply choice.AttemptResult, value []byte) {
	switch {
	case v.Kind == '*':
		reply = choice.AttemptResult{Outcome: choice.Succeeded, ActualUnits: reportField(v.List[1].Text, "cost", maxUnits)}
		if len(v.List) > 2 {
			reply.Load.InFlight = reportField(v.List[2].Text, "outstanding", maxReportValue)
			reply.Load.Throughput = reportField(v.List[2].Text, "throughput", maxReportValue)
			reply.Load.Queued = reportField(v.List[2].Text, "backlog", maxReportValue)
			reply.Load.ServiceTime = int64(reportField(v.List[2].Text, "recent_ms", maxReportValue) * 1e6)
		}
		return reply, v.List[0].Text
	case (string(v.Text) == "BUSY" || bytes.HasPrefix(v.Text, []byte("BUSY "))):
		return choice.AttemptResult{Outcome: choice.Overloaded}, nil
	}
	return choice.AttemptResult{Outcome: choice.ServerError}, nil
}

// reportField finds one of the figures on use or load by its name. One that cannot be right counts as none, 0: settled,
// it would spoil the customer's account for good.
func reportField(report []byte, wanted string, limit float64) float64 {
	for _, field := range bytes.Split(report, []byte(",")) {
		if name, value, _ := bytes.Cut(field, []byte("=")); string(name) == wanted {
			if x, err := strconv.ParseFloat(string(value), 64); err == nil && x > 0 && x <= limit {
				return x
			}
		}
	}
	return 0
}

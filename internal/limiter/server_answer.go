package limiter

import (
	"bytes"
	"strconv"

	"ospreycroft/choice"
	"ospreycroft/internal/resp"
)

// maxReportValue is the largest valid value in a load report, the largest amount in the protocol.
const maxReportValue = 1e9

// decodeAnswer returns the outcome and the value in a server's answer. A successful one may give the actual units, at
// most maxUnits, and the load report.
func decodeAnswer(v resp.Value, maxUnits float64) (reply choice.AttemptResult, value []byte) {
	switch {
	case v.Kind == '*':
		reply = choice.AttemptResult{
			Outcome:     choice.Succeeded,
			ActualUnits: reportField(v.List[1].Text, "cost", maxUnits),
		}
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

// reportField finds a field of the usage or load report by its name. A missing or invalid value, or one above limit, is
// 0: settled with the counter, it would corrupt the customer's account for good.
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

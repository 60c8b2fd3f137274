package choice

import "testing"

func TestResidenceSeconds(t *testing.T) {
	for _, c := range []struct {
		report LoadReport
		want   float64
	}{
		{LoadReport{InFlight: 6, Throughput: 12, ServiceTime: second}, 0.5},
		{LoadReport{ServiceTime: second / 4, Queued: 5, Throughput: 20}, 0.5},
		{LoadReport{ServiceTime: second / 4, Queued: 5}, 0.25},
		{LoadReport{InFlight: 6}, 0},
	} {
		if got := c.report.residenceSeconds(); got != c.want {
			t.Errorf("%+v: %v, want %v", c.report, got, c.want)
		}
	}
}

package counterloss

import (
	"math"
	"strings"
	"testing"

	"ospreycroft/choice"
	"ospreycroft/internal/logging"
)

var department = &choice.Plan{Rate: 10, Burst: 20, CeilingRate: 20, CeilingBurst: 40}
var basic = &choice.Plan{Rate: 2, Burst: 8}

func TestLostBound(t *testing.T) {
	// 4 limiters, each with two equal parts of the quota: 40 at once and 20 per second, where the quota has 20 and 10.
	b, err := BoundOf("department", department, 6, 4, Lost, 1)
	if err != nil || b.BurstExcess != 20 || b.ExcessRate != 10 || b.CeilingExcess != 0 {
		t.Fatalf("%+v %v", b, err)
	}
	// 10 limiters, whose local quotas hold at least the largest request of 6 units: 60 at once.
	if b, _ = BoundOf("department", department, 6, 10, Lost, 1); b.BurstExcess != 40 || b.ExcessRate != 10 {
		t.Fatalf("%+v", b)
	}
	alone, _ := BoundOf("basic", basic, 1, 1, Lost, 1)
	if alone.BurstExcess != 0 || alone.ExcessRate != 0 || !math.IsNaN(alone.CeilingExcess) {
		t.Fatalf("a single limiter's local quota is not the whole quota: %+v", alone)
	}
}

func TestSplitBoundIsCappedByCeiling(t *testing.T) {
	b, _ := BoundOf("department", department, 6, 3, Split, 5) // only 3 parts can have one of the 3 limiters
	if b.BurstExcess != 60 || b.ExcessRate != 20 {            // 3 full buckets, including the loss when the split heals
		t.Fatalf("%+v", b)
	}
	// Over a minute the parts allow 60 + 20·60 = 1260, but the ceiling limits that to 20 + 10·60 = 620 beyond the quota.
	if got := b.Excess(department, 60); got != 620 {
		t.Fatalf("excess over a minute: %v", got)
	}
	free, _ := BoundOf("basic", basic, 6, 3, Split, 2)
	if got := free.Excess(basic, 60); got != 2*8+2*60 {
		t.Fatalf("excess over a minute without a ceiling: %v", got)
	}
}

func TestInvalidInputsAndTable(t *testing.T) {
	if _, err := BoundOf("x", basic, 6, 0, Lost, 1); err == nil {
		t.Error("no error for 0 limiters")
	}
	if _, err := BoundOf("x", basic, 6, 3, Split, 1); err == nil {
		t.Error("no error for a split into one part")
	}
	set := &choice.Settings{Plans: map[string]*choice.Plan{"department": department, "basic": basic,
		"none": {}}, MaxRequestUnits: 6, Limiters: 3}
	rows, err := Table(set)
	if err != nil || len(rows) != 8 || rows[0].Plan != "basic" || rows[4].Plan != "department" {
		t.Fatalf("%d rows %v", len(rows), err)
	}
	line := logging.Event{Attrs: rows[6].Attrs(department)}.String()
	if !strings.Contains(line, "case=split") || !strings.Contains(line, "parts=2") {
		t.Fatal(line)
	}
}

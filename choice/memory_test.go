package choice

import "testing"

// TestMemoryBudgetIsShared lets clients take as much as each may, one after the other, and checks that together they stay
// within the part and that usual clients still find room.
func TestMemoryBudgetIsShared(t *testing.T) {
	const greedy = 60
	budget := MemoryBudget(32 << 20)
	requests := 0
	commands := 0
	for range greedy {
		ofClient := 0
		for budget.AdmitsRequest(ofClient, int64(requests)*RequestBytes) {
			ofClient++
			requests++
		}
		ofClient = 0
		for budget.AdmitsCommand(ofClient, commands) {
			ofClient++
			commands++
		}
	}
	const others = 400 // connections of usual clients, each with one command
	if held := int64(requests) * RequestBytes; !budget.AdmitsRequest(0, held+(others-1)*RequestBytes) {
		t.Errorf("%d requests of greedy clients take %d bytes of %d", requests, held, budget.part())
	}
	if held := int64(commands) * AnswerBytes; !budget.AdmitsCommand(0, commands+others-1) {
		t.Errorf("%d commands of greedy clients take %d bytes of %d", commands, held, budget.part())
	}
	if budget.AdmitsRequest(0, budget.part()) || budget.AdmitsCommand(0, int(budget.part()/AnswerBytes)) ||
		budget.KeepsPartialCommand(budget.part()+1) ||
		!budget.KeepsPartialAnswer(budget.part()+1) ||
		budget.KeepsPartialAnswer(budget.part()+budget.part()/reservedDivisor+1) {
		t.Error("more than a part is admitted")
	}
	if !budget.AdmitsCommand(maxPipelined-1, maxPipelined-1) || budget.AdmitsCommand(maxPipelined, maxPipelined) {
		t.Error("a single client may not pipeline as much as it may")
	}
}

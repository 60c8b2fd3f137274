package choice

import "testing"

func TestSetState(t *testing.T) {
	t.Run("an ended request keeps its state", func(t *testing.T) {
		defer func() {
			if recover() == nil {
				t.Fatal("it changed its state")
			}
		}()
		(&request{state: stateAnswered}).setState(stateRejected)
	})
}

func TestRequestTableRemovesOnlyTheGivenRequest(t *testing.T) {
	table := newRequestTable()
	first, second := &request{id: "same"}, &request{id: "same"}
	table.add(first)
	table.add(second)
	if table.remove(first) || !table.remove(second) || len(table.byID) != 0 {
		t.Fatal("the first request was removed instead of the second")
	}
}

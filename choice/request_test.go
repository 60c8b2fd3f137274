package choice

import "testing"

func TestSetState(t *testing.T) {
	t.Run("an ended request keeps its end", func(t *testing.T) {
		defer func() {
			if recover() == nil {
				t.Fatal("it moved")
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
		t.Fatal("the first was forgotten in the second's place")
	}
}

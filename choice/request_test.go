package choice

import "testing"

func TestMove(t *testing.T) {
	t.Run("an ended request keeps its end", func(t *testing.T) {
		defer func() {
			if recover() == nil {
				t.Fatal("it moved")
			}
		}()
		(&request{state: stateAnswered}).move(stateRejected)
	})
}

package distribution

import "fmt"

// MaxEpochStep is the largest allowed difference between an epoch and the one before it. Each new writer counts the
// epoch up by one, so a larger step is a mistake, and would use up the range of higher epochs.
const MaxEpochStep = 1 << 20

// Version identifies one change of the log. Each writer has its own epoch. Number increases by one with each change and
// is not reset in a new epoch. The zero value is the version before the first change.
type Version struct {
	Epoch  uint64 `json:"epoch"`
	Number uint64 `json:"number"`
}

// Less reports whether v is older than other. Epochs are compared first, then numbers.
func (v Version) Less(other Version) bool {
	if v.Epoch != other.Epoch {
		return v.Epoch < other.Epoch
	}
	return v.Number < other.Number
}

// follows reports whether a change with version v may directly follow the change with version previous.
func (v Version) follows(previous Version) bool {
	return v.Number == previous.Number+1 && v.Epoch >= previous.Epoch
}

// String returns the epoch and the number, separated by a dot.
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Epoch, v.Number) }

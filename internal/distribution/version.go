package distribution

import "fmt"

// MaxEpochStep is how far an epoch may be above the one before it. Epochs are counted up, one a writer: a larger step
// is an error, and would leave less room above it.
const MaxEpochStep = 1 << 20

// Version names one change of the log. Numbers run on over epochs, one at a time; an epoch stands for one writer. The
// zero value is the version before the first change.
type Version struct {
	Epoch  uint64 `json:"epoch"`
	Number uint64 `json:"number"`
}

// Less tells whether a version is older than another: first by epoch, then by number.
func (v Version) Less(other Version) bool {
	if v.Epoch != other.Epoch {
		return v.Epoch < other.Epoch
	}
	return v.Number < other.Number
}

// follows tells whether a change with this version may stand directly behind another.
func (v Version) follows(previous Version) bool {
	return v.Number == previous.Number+1 && v.Epoch >= previous.Epoch
}

// String gives the word for log lines.
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Epoch, v.Number) }

package settings

// Bounds of numbers in the settings. Values beyond them are mistakes, and would break the arithmetic in nanoseconds:
// shorter times round to 0, longer ones overflow.
const (
	minTime  = 1e-4 // seconds
	maxTime  = 1e8  // seconds
	maxUnits = 1e9  // the largest amount that the protocols allow
	maxRate  = 1e12 // units per second; also limits units, weights and the numbers of attempts
	maxCount = 1e6  // limiters
)

// boundedValue is the value of a key with its bounds.
type boundedValue struct {
	key        string
	value      float64
	min, max   float64
	mayBeUnset bool // 0 is valid too and means that the key is not set
}

// checkBounds returns a *KeyError for the first value that is out of its bounds. part is the prefix of the keys.
func checkBounds(part string, figures ...boundedValue) error {
	for _, f := range figures {
		inBounds := f.min <= f.value && f.value <= f.max
		if !inBounds && !(f.mayBeUnset && f.value == 0) {
			return keyError(part+f.key, "is %v, not from %v to %v", f.value, f.min, f.max)
		}
	}
	return nil
}

// checkName returns a *KeyError if name is empty or is already used by another class or plan.
func checkName(part, name string, taken bool) error {
	switch {
	case name == "":
		return keyError(part+": name", "missing")
	case taken:
		return keyError(part+": "+name, "is defined twice")
	}
	return nil
}

package settings

// Bounds of figures. Nobody means one beyond them, and the arithmetic in nanoseconds holds within them: what is
// shorter would round to no time at all, and what is longer would overflow.
const (
	minTime  = 1e-4 // seconds
	maxTime  = 1e8  // seconds
	maxUnits = 1e9  // the wire's largest amount
	maxRate  = 1e12
	maxCount = 1e6
)

// boundedValue is a number by its key, and what it may be; 0 stands for one that is not given, where that may be.
type boundedValue struct {
	key        string
	value      float64
	min, max   float64
	mayBeUnset bool
}

// checkBounds refuses the first figure that is out of its bounds, by its key behind that of the part.
func checkBounds(part string, figures ...boundedValue) error {
	for _, f := range figures {
		inBounds := f.min <= f.value && f.value <= f.max
		if !inBounds && !(f.mayBeUnset && f.value == 0) {
			return keyError(part+f.key, "is %v, not from %v to %v", f.value, f.min, f.max)
		}
	}
	return nil
}

// checkName refuses a class or a plan without a name, or with one that is taken already.
func checkName(part, name string, taken bool) error {
	switch {
	case name == "":
		return keyError(part+": name", "missing")
	case taken:
		return keyError(part+": "+name, "there twice")
	}
	return nil
}

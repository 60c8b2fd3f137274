package choice

import "math"

// Constants of exponential. ln2High and ln2Low add up to the logarithm of two in twice the precision of a float64.
const (
	expOverflow  = 7.09782712893384e+02 // largest argument whose exponential is finite
	expUnderflow = -7.46e+02            // the exponential of any smaller argument rounds to zero
	ln2High      = 0.69314718055966295651160180568695068359375
	ln2Low       = 0.28235290563031577122588448175013436025525412068e-12
	expHalvings  = 4 // the reduced argument is divided by two so often, and the result squared as often
)

// expCoefficients are those of the Taylor series of (exp(x)-1)/x, that of the highest power first.
var expCoefficients = [...]float64{1.0 / 40320, 1.0 / 5040, 1.0 / 720, 1.0 / 120, 1.0 / 24, 1.0 / 6, 1.0 / 2, 1}

// exponential returns e to the power of x. math.Exp differs in the last bit between processor architectures; this
// function rounds alike on all of them, so that limiters on different machines decide alike. The method is that of
// N. Shibata, "Efficient evaluation methods of elementary functions suitable for SIMD computation" (2010).
func exponential(x float64) float64 {
	switch {
	case math.IsNaN(x):
		return x
	case x > expOverflow:
		return math.Inf(1)
	case x < expUnderflow:
		return 0
	}
	exponent := math.RoundToEven(x * math.Log2E)
	reduced := math.FMA(-exponent, ln2High, x)
	reduced = math.FMA(-exponent, ln2Low, reduced)
	reduced /= 1 << expHalvings
	sum := expCoefficients[0]
	for _, coefficient := range expCoefficients[1:] {
		sum = math.FMA(sum, reduced, coefficient)
	}
	excess := reduced * sum // exp(reduced) - 1
	for range expHalvings - 1 {
		excess *= excess + 2
	}
	return math.Ldexp(math.FMA(excess, excess+2, 1), int(exponent))
}

package limiter

import (
	"bytes"
	"math"
	"ospreycroft/choice"
	"slices"
	"strconv"
)

// maxIDBytes is the length of a request's id.
const maxIDBytes = 64

// parseArrival reads a request's command; before and past enclose the time in its list of names and values. It is as strict as
// the protocol: what a server turns away costs that server's connection and its standing, and what is not so may spoil
// the record of a customer that others share.
func (l *Limiter) parseArrival(words [][]byte) (a choice.Arrival, before, past int, fault string) {
	var err error
	a.Customer, err = strconv.ParseUint(string(words[1]), 16, 64)
	if err != nil || len(words[1]) != 16 || a.Customer >= 1<<33 {
		return a, 0, 0, "customer is not a number below 2^33 in 16 digits"
	}
	if len(words[2]) == 0 || len(words[2]) > maxIDBytes {
		return a, 0, 0, "id is empty or too long"
	}
	a.ID = string(words[2])
	names := make([][]byte, 0, 8)
	first := -1.0
	for from := 0; from <= len(words[3]); {
		field := words[3][from:]
		if i := bytes.IndexByte(field, ','); i >= 0 {
			field = field[:i]
		}
		name, value, found := bytes.Cut(field, []byte("="))
		twice := slices.ContainsFunc(names, func(o []byte) bool { return bytes.Equal(o, name) })
		if !found || len(value) == 0 || twice {
			return a, 0, 0, "a name without a value, or twice"
		}
		names = append(names, name)
		switch string(name) {
		case "c":
			a.Class = string(value)
		case "t":
			a.Plan = string(value)
		case "d":
			var left float64
			left, err = number(value)
			if err != nil || left <= 0 {
				return a, 0, 0, "d is not a time"
			}
			a.Timeout = int64(left * 1e6)
			before = from + len("d=")
			past = from + len(field)
		case "units":
			a.Units, err = number(value)
			if err != nil || a.Units <= 0 || a.Units > l.settings.MaxRequestUnits {
				return a, 0, 0, "units is not a number of units"
			}
		case "spread":
			a.Limiters, err = strconv.Atoi(string(value))
			if err != nil || a.Limiters < 1 || a.Limiters > l.settings.Limiters {
				return a, 0, 0, "spread is not a number of limiters"
			}
		case "first":
			first, err = number(value)
			if err != nil || first >= float64(l.settings.Limiters) || first != math.Trunc(first) {
				return a, 0, 0, "first is not a limiter's number"
			}
		case "r":
			if string(value) != "0" && string(value) != "1" {
				return a, 0, 0, "r is neither 0 nor 1"
			}
		}
		from += len(field) + 1
	}
	t := l.settings.Classes[a.Class]
	switch {
	case t == nil:
		return a, 0, 0, "unknown class"
	case l.settings.Plans[a.Plan] == nil:
		return a, 0, 0, "unknown plan"
	case a.Timeout == 0:
		return a, 0, 0, "d is missing"
	case a.Limiters == 0 || first < 0:
		return a, 0, 0, "spread or first is missing"
	case a.Units == 0:
		return a, 0, 0, "units is missing"
	case bytes.EqualFold(words[0], []byte("SVC.QUERY")) != (t.Idempotency == choice.Idempotent):
		return a, 0, 0, "the class goes by the other command"
	case (len(words) == 4) != (t.Idempotency == choice.Idempotent):
		return a, 0, 0, "a body that is missing or too much"
	}
	return a, before, past, ""
}

// number reads what fits any count of units or milliseconds: digits, with a point among them or none.
func number(text []byte) (float64, error) {
	if len(bytes.Trim(text, "0123456789.")) > 0 {
		return 0, strconv.ErrSyntax
	}
	x, err := strconv.ParseFloat(string(text), 64)
	if err == nil && x > 1e9 {
		err = strconv.ErrRange
	}
	return x, err
}

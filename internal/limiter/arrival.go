package limiter

import (
	"bytes"
	"errors"
	"math"
	"strconv"

	"ospreycroft/choice"
	"ospreycroft/internal/settings"
)

const (
	// maxIDBytes is the longest ID of a request, in bytes.
	maxIDBytes = 64
	// customerDigits is the number of hexadecimal digits of a customer's number.
	customerDigits = 16
	// maxCustomer is the upper bound of customers' numbers, exclusive.
	maxCustomer = 1 << 33
	// maxNumber is the largest number in a command, of units or milliseconds.
	maxNumber = 1e9
)

// Errors of a command that is invalid whatever the state of the limiter. Their texts are sent to the client.
var (
	errArguments   = errors.New("wrong number of arguments")
	errCustomer    = errors.New("customer is not a number below 2^33 in 16 digits")
	errID          = errors.New("id is empty or too long")
	errIDInUse     = errors.New("id is in use")
	errField       = errors.New("a name without a value, or twice")
	errTimeout     = errors.New("d is not a time")
	errUnits       = errors.New("units is not a number of units")
	errLimiters    = errors.New("spread is not a number of limiters")
	errFirst       = errors.New("first is not a limiter's number")
	errRetry       = errors.New("r is neither 0 nor 1")
	errClass       = errors.New("unknown class")
	errPlan        = errors.New("unknown plan")
	errNoTimeout   = errors.New("d is missing")
	errNoLimiters  = errors.New("spread or first is missing")
	errNoUnits     = errors.New("units is missing")
	errWrongVerb   = errors.New("the class goes by the other command")
	errBody        = errors.New("a body that is missing or too much")
	errUnknownVerb = errors.New("unknown command")
)

// Positions of the words in a request's command.
const (
	wordVerb = iota
	wordCustomer
	wordID
	wordFields
	wordBody // only of classes that are not idempotent
)

// parsedRequest is the content of a request's command.
type parsedRequest struct {
	arrival choice.Arrival
	// timeoutStart and timeoutEnd delimit the value of d in the fields word.
	timeoutStart, timeoutEnd int
	firstLimiter             float64 // number of the first of the customer's limiters, negative if not given
}

// parseRequest parses a request's command. It accepts only what the protocol allows: a server answers an invalid
// command with an error, which costs the connection and counts against the server, and wrong numbers could corrupt the
// account of a customer that other limiters share. names is memory that is reused.
func parseRequest(words [][]byte, cfg *settings.Settings, names *nameSet) (parsedRequest, error) {
	p := parsedRequest{firstLimiter: -1}
	if len(words) <= wordFields || len(words) > wordBody+1 {
		return p, errArguments
	}
	var err error
	p.arrival.Customer, err = strconv.ParseUint(string(words[wordCustomer]), 16, 64)
	if err != nil || len(words[wordCustomer]) != customerDigits || p.arrival.Customer >= maxCustomer {
		return p, errCustomer
	}
	if len(words[wordID]) == 0 || len(words[wordID]) > maxIDBytes {
		return p, errID
	}
	p.arrival.ID = string(words[wordID])
	if err := p.parseFields(words[wordFields], cfg, names); err != nil {
		return p, err
	}
	return p, p.check(words, cfg)
}

// parseFields parses the comma-separated list of name=value fields. names is used to find one that is given twice.
func (p *parsedRequest) parseFields(list []byte, cfg *settings.Settings, names *nameSet) error {
	names.reset(list)
	for start := 0; start <= len(list); {
		field := list[start:]
		if comma := bytes.IndexByte(field, ','); comma >= 0 {
			field = field[:comma]
		}
		name, value, found := bytes.Cut(field, []byte("="))
		if !found || len(value) == 0 || !names.add(start, start+len(name)) {
			return errField
		}
		if string(name) == "d" {
			p.timeoutStart = start + len("d=")
			p.timeoutEnd = start + len(field)
		}
		if err := p.parseField(string(name), value, cfg); err != nil {
			return err
		}
		start += len(field) + 1
	}
	return nil
}

// parseField parses one value. Unknown names are ignored.
func (p *parsedRequest) parseField(name string, value []byte, cfg *settings.Settings) (err error) {
	a := &p.arrival
	switch name {
	case "c":
		a.Class = string(value)
	case "t":
		a.Plan = string(value)
	case "d":
		milliseconds, err := parseNumber(value)
		if err != nil || milliseconds <= 0 {
			return errTimeout
		}
		a.Timeout = int64(milliseconds * 1e6)
	case "units":
		a.Units, err = parseNumber(value)
		if err != nil || a.Units <= 0 || a.Units > cfg.MaxRequestUnits {
			return errUnits
		}
	case "spread":
		a.Limiters, err = strconv.Atoi(string(value))
		if err != nil || a.Limiters < 1 || a.Limiters > cfg.Limiters {
			return errLimiters
		}
	case "first":
		p.firstLimiter, err = parseNumber(value)
		if err != nil || p.firstLimiter >= float64(cfg.Limiters) || p.firstLimiter != math.Trunc(p.firstLimiter) {
			return errFirst
		}
	case "r":
		if string(value) != "0" && string(value) != "1" {
			return errRetry
		}
	}
	return nil
}

// check rejects a command with missing fields, or with fields that contradict each other.
func (p *parsedRequest) check(words [][]byte, cfg *settings.Settings) error {
	a := &p.arrival
	class := cfg.Classes[a.Class]
	if class == nil {
		return errClass
	}
	idempotent := class.Idempotency == choice.Idempotent
	switch {
	case cfg.Plans[a.Plan] == nil:
		return errPlan
	case a.Timeout == 0:
		return errNoTimeout
	case a.Limiters == 0 || p.firstLimiter < 0:
		return errNoLimiters
	case a.Units == 0:
		return errNoUnits
	case bytes.EqualFold(words[wordVerb], []byte("SVC.QUERY")) != idempotent:
		return errWrongVerb
	case (len(words) == wordBody) != idempotent:
		return errBody
	}
	return nil
}

// parseNumber parses an unsigned decimal number of units or milliseconds, without an exponent.
func parseNumber(text []byte) (float64, error) {
	if len(bytes.Trim(text, "0123456789.")) > 0 {
		return 0, strconv.ErrSyntax
	}
	number, err := strconv.ParseFloat(string(text), 64)
	if err == nil && number > maxNumber {
		err = strconv.ErrRange
	}
	return number, err
}

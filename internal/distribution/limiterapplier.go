package distribution

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
)

// Names of the entries of KindEndpoints that a limiter can change while it runs.
const (
	EndpointDiscovery = "discovery"
	EndpointCounter   = "counter"
)

// Addresses are where a limiter finds what it asks; empty where the configuration file says it.
type Addresses struct{ Discovery, Counter string }

// LimiterApplier puts updates in force at a limiter. Addresses of discovery and the counter move by the same path as on
// SIGHUP. Routes, tenants and plans are carried and numbered; the limiter does not act on them yet.
//
// An endpoint with a scope goes before the one for every limiter, and of several scopes the last by name goes first.
type LimiterApplier struct {
	// Move makes the limiter use other addresses, both or neither, between two requests, without waiting for I/O. It
	// is not called where they stay the same.
	Move      func(Addresses) error
	endpoints map[Key]string
	current   Addresses
}

// Apply is a method of Applier. Errors: *FixedKeyError, *KeyError, and those of Move.
func (a *LimiterApplier) Apply(update *Update) error {
	endpoints, err := a.resultingEndpoints(update)
	if err != nil {
		return err
	}
	next, err := a.addresses(endpoints)
	if err != nil {
		return err
	}
	if next != a.current {
		if err := a.Move(next); err != nil {
			return err
		}
	}
	a.endpoints = endpoints
	a.current = next
	return nil
}

// resultingEndpoints is what an update makes of the endpoints. Only the outcome has to be usable: a change may mend one before it.
func (a *LimiterApplier) resultingEndpoints(update *Update) (map[Key]string, error) {
	endpoints := map[Key]string{}
	mutations := []Mutation{}
	if update.Whole != nil {
		for _, e := range update.Whole.Entries() {
			mutations = append(mutations, Mutation{Entry: e})
		}
	} else {
		maps.Copy(endpoints, a.endpoints)
	}
	for _, change := range update.Changes {
		mutations = append(mutations, change.Mutations...)
	}
	for _, m := range mutations {
		switch {
		case m.Kind != KindEndpoints:
		case m.Delete:
			delete(endpoints, m.Key)
		default:
			endpoints[m.Key] = m.Value
		}
	}
	for _, key := range slices.SortedFunc(maps.Keys(endpoints), Key.compare) {
		if key.Name != EndpointDiscovery && key.Name != EndpointCounter {
			return nil, &FixedKeyError{Key: key}
		}
		if err := checkAddress(Entry{Key: key, Value: endpoints[key]}); err != nil {
			return nil, err
		}
	}
	return endpoints, nil
}

// addresses are those that endpoints say. One that was said may not be unsaid.
func (a *LimiterApplier) addresses(endpoints map[Key]string) (next Addresses, err error) {
	for _, key := range slices.SortedFunc(maps.Keys(endpoints), Key.compare) {
		if key.Name == EndpointDiscovery {
			next.Discovery = endpoints[key]
		} else {
			next.Counter = endpoints[key]
		}
	}
	if a.current.Discovery != "" && next.Discovery == "" {
		return next, &FixedKeyError{Key: Key{Kind: KindEndpoints, Name: EndpointDiscovery}}
	}
	if a.current.Counter != "" && next.Counter == "" {
		return next, &FixedKeyError{Key: Key{Kind: KindEndpoints, Name: EndpointCounter}}
	}
	return next, nil
}

// checkAddress refuses a value that is no host and port.
func checkAddress(e Entry) error {
	host, port, err := net.SplitHostPort(e.Value)
	if n, bad := strconv.ParseUint(port, 10, 16); err != nil || bad != nil || n == 0 || host == "" {
		return &KeyError{Key: e.Key, Why: fmt.Sprintf("is %q, which is no address", truncate(e.Value, MaxNameBytes))}
	}
	return nil
}

package distribution

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
)

// Names of the entries of KindEndpoints that a running limiter can change.
const (
	EndpointDiscovery = "discovery"
	EndpointCounter   = "counter"
)

// Addresses are the addresses (host and port) of discovery and of the shared counter. An empty one means that the
// address in the configuration file applies.
type Addresses struct{ Discovery, Counter string }

// LimiterApplier applies updates at a limiter. The addresses of discovery and the shared counter change by the same
// code path as on SIGHUP. Routes, tenants and plans are distributed, but the limiter does not use them yet.
//
// An endpoint entry with a scope takes precedence over the one for all limiters. Among several scopes, the one whose
// name sorts last takes precedence.
type LimiterApplier struct {
	// ChangeAddresses makes the limiter use other addresses between two requests, without waiting for I/O. If it
	// returns an error, neither address has changed. It is called only if an address differs.
	ChangeAddresses func(Addresses) error
	endpoints       map[Key]string
	current         Addresses
}

// Apply implements Applier. Errors: *FixedKeyError, *KeyError, and those of ChangeAddresses.
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
		if err := a.ChangeAddresses(next); err != nil {
			return err
		}
	}
	a.endpoints = endpoints
	a.current = next
	return nil
}

// resultingEndpoints returns the endpoints after an update. Only the result is validated, since a change may correct an
// earlier one of the same update. Errors: *FixedKeyError, *KeyError.
func (a *LimiterApplier) resultingEndpoints(update *Update) (map[Key]string, error) {
	endpoints := map[Key]string{}
	mutations := []Mutation{}
	if update.FullState != nil {
		for _, e := range update.FullState.Entries() {
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

// addresses returns the addresses that endpoints specify. An address that an update has set can be changed, but not
// removed: that is a *FixedKeyError.
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

// checkAddress returns *KeyError if the value is not a host and a port.
func checkAddress(e Entry) error {
	host, port, err := net.SplitHostPort(e.Value)
	if n, bad := strconv.ParseUint(port, 10, 16); err != nil || bad != nil || n == 0 || host == "" {
		return &KeyError{Key: e.Key, Why: fmt.Sprintf("is %q, which is no address", truncate(e.Value, MaxNameBytes))}
	}
	return nil
}

package distribution

import (
	"strings"
	"unicode/utf8"
)

// Kind is the kind of an entry.
type Kind string

// The known kinds.
const (
	KindRoutes    Kind = "routes"
	KindTenants   Kind = "tenants"
	KindPlans     Kind = "plans"
	KindEndpoints Kind = "endpoints"
)

// Kinds lists all known kinds in alphabetical order.
var Kinds = []Kind{KindEndpoints, KindPlans, KindRoutes, KindTenants}

func (k Kind) known() bool {
	switch k {
	case KindRoutes, KindTenants, KindPlans, KindEndpoints:
		return true
	}
	return false
}

// Limits of entries, changes and states. Byte limits count the content and entryOverhead, not the JSON encoding.
const (
	MaxNameBytes      = 256
	MaxScopeBytes     = 64
	MaxValueBytes     = 64 << 10
	MaxChangeBytes    = 256 << 10
	MaxMutations      = 256
	MaxStateBytes     = 64 << 20
	entryOverhead     = 64 // bytes counted for each entry in addition to its strings
	maxEntryBytes     = entryOverhead + MaxNameBytes + MaxScopeBytes + MaxValueBytes + 16
	scopeNameAlphabet = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-"
)

// Key identifies an entry.
type Key struct {
	Kind Kind `json:"kind"`
	// Scope is the group of limiters that the entry applies to, such as a region or a tier. If empty, the entry applies
	// to all limiters. Since the scope is part of the key, an entry is moved to another scope by a change that deletes
	// it in the old scope and puts it in the new one.
	Scope string `json:"scope,omitempty"`
	Name  string `json:"name"`
}

// String returns the kind, the scope and the name, separated by slashes.
func (k Key) String() string { return string(k.Kind) + "/" + k.Scope + "/" + k.Name }

// compare compares two keys by kind, then scope, then name.
func (k Key) compare(other Key) int {
	if c := strings.Compare(string(k.Kind), string(other.Kind)); c != 0 {
		return c
	}
	if c := strings.Compare(k.Scope, other.Scope); c != 0 {
		return c
	}
	return strings.Compare(k.Name, other.Name)
}

// check validates the key. Errors: *KindError, *KeyError, *TooLargeError.
func (k Key) check() error {
	switch {
	case !k.Kind.known():
		return &KindError{Kind: string(k.Kind)}
	case k.Name == "":
		return &KeyError{Key: k, Why: "has no name"}
	case len(k.Name) > MaxNameBytes:
		return &TooLargeError{What: "the name of an entry of " + string(k.Kind), Bytes: len(k.Name), Max: MaxNameBytes}
	case len(k.Scope) > MaxScopeBytes:
		return &TooLargeError{
			What:  "the scope of an entry of " + string(k.Kind),
			Bytes: len(k.Scope),
			Max:   MaxScopeBytes,
		}
	case !utf8.ValidString(k.Name):
		return &KeyError{Key: k, Why: "has a name that is not UTF-8"}
	case strings.Trim(k.Scope, scopeNameAlphabet) != "":
		return &KeyError{Key: k, Why: "has a scope with other characters than letters, digits, '.', '_' and '-'"}
	}
	return nil
}

// Entry is a key with its value.
type Entry struct {
	Key
	// Value is any UTF-8 text; JSON by convention.
	Value string `json:"value"`
}

// size is the size of the entry that all byte limits count.
func (e Entry) size() int {
	return entryOverhead + len(e.Kind) + len(e.Scope) + len(e.Name) + len(e.Value)
}

// check validates the entry. Errors: *KindError, *KeyError, *TooLargeError.
func (e Entry) check() error {
	if err := e.Key.check(); err != nil {
		return err
	}
	if len(e.Value) > MaxValueBytes {
		return &TooLargeError{What: "the value of " + e.String(), Bytes: len(e.Value), Max: MaxValueBytes}
	}
	if !utf8.ValidString(e.Value) {
		return &KeyError{Key: e.Key, Why: "has a value that is not UTF-8"}
	}
	return nil
}

// Mutation adds or replaces an entry, or deletes the entry with its key if Delete is set.
type Mutation struct {
	Entry
	Delete bool `json:"delete,omitempty"`
}

// check validates the mutation. Errors: *KindError, *KeyError, *TooLargeError.
func (m Mutation) check() error {
	if m.Delete && m.Value != "" {
		return &KeyError{Key: m.Key, Why: "is deleted and has a value"}
	}
	return m.Entry.check()
}

// Change is one numbered change of the log.
type Change struct {
	Version Version `json:"version"`
	// Published is when the writer accepted the change, in nanoseconds of Unix time by the writer's clock.
	Published int64 `json:"published"`
	// Mutations are applied atomically. No two of them have the same key. Empty for a change that opens an epoch, and
	// for a change of which no mutation is in the subscriber's scope.
	Mutations []Mutation `json:"mutations,omitempty"`
}

// size is the size of the change that all byte limits count.
func (c Change) size() int {
	bytes := entryOverhead
	for _, m := range c.Mutations {
		bytes += m.size()
	}
	return bytes
}

// checkMutations validates the mutations of one change. Errors: *KindError, *KeyError, *TooLargeError.
func checkMutations(mutations []Mutation) error {
	if len(mutations) > MaxMutations {
		return &TooLargeError{What: "the number of mutations in a change", Bytes: len(mutations), Max: MaxMutations}
	}
	seen := make(map[Key]bool, len(mutations))
	for _, m := range mutations {
		if err := m.check(); err != nil {
			return err
		}
		if seen[m.Key] {
			return &KeyError{Key: m.Key, Why: "stands twice in one change"}
		}
		seen[m.Key] = true
	}
	if bytes := (Change{Mutations: mutations}).size(); bytes > MaxChangeBytes {
		return &TooLargeError{What: "a change", Bytes: bytes, Max: MaxChangeBytes}
	}
	return nil
}

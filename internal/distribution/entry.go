package distribution

import (
	"strings"
	"unicode/utf8"
)

// Kind is a kind of entries.
type Kind string

// The kinds of entries.
const (
	KindRoutes    Kind = "routes"
	KindTenants   Kind = "tenants"
	KindPlans     Kind = "plans"
	KindEndpoints Kind = "endpoints"
)

// Kinds are all kinds, in the order of their names.
var Kinds = []Kind{KindEndpoints, KindPlans, KindRoutes, KindTenants}

func (k Kind) known() bool {
	switch k {
	case KindRoutes, KindTenants, KindPlans, KindEndpoints:
		return true
	}
	return false
}

// Bounds of entries and changes, in bytes of content (not of JSON) where they count bytes.
const (
	MaxNameBytes      = 256
	MaxScopeBytes     = 64
	MaxValueBytes     = 64 << 10
	MaxChangeBytes    = 256 << 10
	MaxMutations      = 256
	MaxStateBytes     = 64 << 20
	entryOverhead     = 64 // bytes that an entry costs beside its texts
	maxEntryBytes     = entryOverhead + MaxNameBytes + MaxScopeBytes + MaxValueBytes + 16
	scopeNameAlphabet = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-"
)

// Key names an entry.
type Key struct {
	Kind Kind `json:"kind"`
	// Scope is the part of the fleet that the entry is for: a region, a tier or another group. Empty for every limiter.
	// It is part of the key: an entry moves to another scope by a deletion and a put in one change.
	Scope string `json:"scope,omitempty"`
	Name  string `json:"name"`
}

// String gives the word for log lines.
func (k Key) String() string { return string(k.Kind) + "/" + k.Scope + "/" + k.Name }

// compare orders keys by kind, scope and name.
func (k Key) compare(other Key) int {
	if c := strings.Compare(string(k.Kind), string(other.Kind)); c != 0 {
		return c
	}
	if c := strings.Compare(k.Scope, other.Scope); c != 0 {
		return c
	}
	return strings.Compare(k.Name, other.Name)
}

// check refuses a key that cannot be. Errors: *KindError, *KeyError, *TooLargeError.
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
	// Value is the content: any text in UTF-8, JSON by convention.
	Value string `json:"value"`
}

// size is what an entry counts for in all byte bounds.
func (e Entry) size() int {
	return entryOverhead + len(e.Kind) + len(e.Scope) + len(e.Name) + len(e.Value)
}

// check refuses an entry that cannot be. Errors: *KindError, *KeyError, *TooLargeError.
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

// Mutation puts an entry, or deletes the one with its key.
type Mutation struct {
	Entry
	Delete bool `json:"delete,omitempty"`
}

// check refuses a mutation that cannot be. Errors: *KindError, *KeyError, *TooLargeError.
func (m Mutation) check() error {
	if m.Delete && m.Value != "" {
		return &KeyError{Key: m.Key, Why: "is deleted and has a value"}
	}
	return m.Entry.check()
}

// Change is one numbered change of the log.
type Change struct {
	Version Version `json:"version"`
	// Published is when the writer took it, in nanoseconds of Unix time by the writer's clock.
	Published int64 `json:"published"`
	// Mutations are in force together or not at all; each key stands in at most one of them. Empty for a change that
	// opens an epoch, and for one that is outside the subscriber's scope.
	Mutations []Mutation `json:"mutations,omitempty"`
}

// size is what a change counts for in all byte bounds.
func (c Change) size() int {
	bytes := entryOverhead
	for _, m := range c.Mutations {
		bytes += m.size()
	}
	return bytes
}

// checkMutations refuses mutations that cannot be one change. Errors: *KindError, *KeyError, *TooLargeError.
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

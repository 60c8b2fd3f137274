package distribution

import (
	"slices"
	"strings"
)

// MaxScopeNames is the maximum number of kinds, and the maximum number of names, in a Scope.
const MaxScopeNames = 16

// Scope selects the entries that a subscriber receives. The zero value selects all entries; relays use it.
type Scope struct {
	// Kinds are the selected kinds. If empty, all kinds are selected.
	Kinds []Kind
	// Names are the selected values of Key.Scope. Entries with an empty Key.Scope are always selected. If Names is
	// empty, all scopes are selected.
	Names []string
}

// Contains reports whether an entry with this key is in the scope.
func (s Scope) Contains(key Key) bool { return s.contains(bucket{key.Kind, key.Scope}) }

func (s Scope) contains(b bucket) bool {
	if len(s.Kinds) > 0 && !slices.Contains(s.Kinds, b.kind) {
		return false
	}
	return len(s.Names) == 0 || b.scope == "" || slices.Contains(s.Names, b.scope)
}

// String returns the form that ParseScope reads: the kinds, '@' and the names, with commas within both lists. It is
// empty for the zero value.
func (s Scope) String() string {
	if len(s.Kinds) == 0 && len(s.Names) == 0 {
		return ""
	}
	kinds := make([]string, len(s.Kinds))
	for i, kind := range s.Kinds {
		kinds[i] = string(kind)
	}
	return strings.Join(kinds, ",") + "@" + strings.Join(s.Names, ",")
}

// ParseScope parses the form that String returns. Errors: *ScopeError.
func ParseScope(text string) (s Scope, err error) {
	if text == "" {
		return s, nil
	}
	kinds, names, found := strings.Cut(text, "@")
	if !found {
		return s, &ScopeError{Why: "it has no '@' between kinds and names"}
	}
	if kinds != "" {
		for _, kind := range strings.Split(kinds, ",") {
			s.Kinds = append(s.Kinds, Kind(kind))
		}
	}
	if names != "" {
		s.Names = strings.Split(names, ",")
	}
	return s, s.Check()
}

// Check validates the scope. Errors: *ScopeError.
func (s Scope) Check() error {
	if len(s.Kinds) > MaxScopeNames || len(s.Names) > MaxScopeNames {
		return &ScopeError{Why: "it lists too many kinds or names"}
	}
	for _, kind := range s.Kinds {
		if !kind.known() {
			return &ScopeError{Why: "it lists a kind that is not known: " + string(kind)}
		}
	}
	for _, name := range s.Names {
		if name == "" || len(name) > MaxScopeBytes || strings.Trim(name, scopeNameAlphabet) != "" {
			return &ScopeError{Why: "it lists a name that cannot be: " + name}
		}
	}
	return nil
}

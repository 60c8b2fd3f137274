package distribution

import (
	"slices"
	"strings"
)

// MaxScopeNames is how many kinds, and how many names, a scope may list.
const MaxScopeNames = 16

// Scope is what a subscriber wants of the state. The zero value is everything, which a relay takes.
type Scope struct {
	// Kinds are the kinds wanted; all where it is empty.
	Kinds []Kind
	// Names are the scopes wanted beside entries for every limiter; all where it is empty.
	Names []string
}

// Contains tells whether entries with this key are in the scope.
func (s Scope) Contains(key Key) bool { return s.contains(bucket{key.Kind, key.Scope}) }

func (s Scope) contains(b bucket) bool {
	if len(s.Kinds) > 0 && !slices.Contains(s.Kinds, b.kind) {
		return false
	}
	return len(s.Names) == 0 || b.scope == "" || slices.Contains(s.Names, b.scope)
}

// String is the form that ParseScope reads: kinds, '@' and names, each list with commas; empty for everything.
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

// ParseScope reads what String writes. Errors: *ScopeError.
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

// Check refuses a scope that cannot be. Errors: *ScopeError.
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

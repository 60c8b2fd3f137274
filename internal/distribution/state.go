package distribution

import (
	"maps"
	"slices"
)

// bucket identifies the entries with the same kind and scope. A Scope contains either all of them or none.
type bucket struct {
	kind  Kind
	scope string
}

func bucketOf(key Key) bucket { return bucket{key.Kind, key.Scope} }

// State is a set of entries and their digests. It is not safe for concurrent use.
type State struct {
	values  map[Key]string
	digests map[bucket]Digest // by bucket; empty buckets have no element
	bytes   int               // total size of the entries
	sorted  []Key             // all keys in order; nil if it has to be computed again
}

// NewState returns a state with no entries.
func NewState() *State { return &State{values: map[Key]string{}, digests: map[bucket]Digest{}} }

// NewStateOf returns a state with the given entries. Errors: *KindError, *KeyError, *TooLargeError.
func NewStateOf(entries []Entry) (*State, error) {
	s := NewState()
	for _, e := range entries {
		if err := e.check(); err != nil {
			return nil, err
		}
		if _, exists := s.values[e.Key]; exists {
			return nil, &KeyError{Key: e.Key, Why: "stands twice in a state"}
		}
		s.put(e)
	}
	if s.bytes > MaxStateBytes {
		return nil, &TooLargeError{What: "the state", Bytes: s.bytes, Max: MaxStateBytes}
	}
	return s, nil
}

// Len returns the number of entries.
func (s *State) Len() int { return len(s.values) }

// Value returns the value of a key, and whether there is an entry with that key.
func (s *State) Value(key Key) (value string, found bool) {
	value, found = s.values[key]
	return value, found
}

// Entries returns all entries, sorted by key.
func (s *State) Entries() []Entry {
	entries := make([]Entry, 0, len(s.values))
	for _, key := range s.keys() {
		entries = append(entries, Entry{Key: key, Value: s.values[key]})
	}
	return entries
}

// Digest returns the digest of the entries in a scope.
func (s *State) Digest(scope Scope) (d Digest) {
	for b, part := range s.digests {
		if scope.contains(b) {
			d = d.plus(part)
		}
	}
	return d
}

// Clone returns an independent copy.
func (s *State) Clone() *State {
	return &State{values: maps.Clone(s.values), digests: maps.Clone(s.digests), bytes: s.bytes}
}

func (s *State) keys() []Key {
	if s.sorted == nil {
		s.sorted = slices.SortedFunc(maps.Keys(s.values), Key.compare)
	}
	return s.sorted
}

// put adds an entry, or replaces the entry with the same key.
func (s *State) put(e Entry) {
	old, exists := s.values[e.Key]
	if exists {
		s.addDigest(bucketOf(e.Key), Digest{}.minus(digestOf(e.Key, old)))
		s.bytes -= Entry{Key: e.Key, Value: old}.size()
	} else {
		s.sorted = nil
	}
	s.values[e.Key] = e.Value
	s.bytes += e.size()
	s.addDigest(bucketOf(e.Key), digestOf(e.Key, e.Value))
}

// remove deletes an entry. It does nothing if there is none with this key.
func (s *State) remove(key Key) {
	old, exists := s.values[key]
	if !exists {
		return
	}
	delete(s.values, key)
	s.sorted = nil
	s.bytes -= Entry{Key: key, Value: old}.size()
	s.addDigest(bucketOf(key), Digest{}.minus(digestOf(key, old)))
}

// addDigest adds a value to the digest of a bucket. The element of a bucket that has become empty is deleted.
func (s *State) addDigest(b bucket, change Digest) {
	sum := s.digests[b].plus(change)
	if sum == (Digest{}) {
		delete(s.digests, b)
		return
	}
	s.digests[b] = sum
}

// apply applies the mutations of changes in order.
func (s *State) apply(changes []Change) {
	for _, change := range changes {
		for _, m := range change.Mutations {
			if m.Delete {
				s.remove(m.Key)
			} else {
				s.put(m.Entry)
			}
		}
	}
}

// preview returns the digest and the size in bytes that the state would have after changes, without applying them.
func (s *State) preview(changes []Change) (digest Digest, bytes int) {
	lastByKey := map[Key]Mutation{}
	for _, change := range changes {
		for _, m := range change.Mutations {
			lastByKey[m.Key] = m
		}
	}
	digest, bytes = s.Digest(Scope{}), s.bytes
	for key, m := range lastByKey { // sums do not depend on the order of iteration
		if old, exists := s.values[key]; exists {
			digest = digest.minus(digestOf(key, old))
			bytes -= Entry{Key: key, Value: old}.size()
		}
		if !m.Delete {
			digest = digest.plus(digestOf(key, m.Value))
			bytes += m.size()
		}
	}
	return digest, bytes
}

// entriesAfter returns the entries in a scope that follow a key, or all if key is nil, up to maxBytes in total. last
// reports whether no further entry follows.
func (s *State) entriesAfter(key *Key, scope Scope, maxBytes int) (entries []Entry, last bool) {
	keys := s.keys()
	from := 0
	if key != nil {
		at, found := slices.BinarySearchFunc(keys, *key, Key.compare)
		from = at
		if found {
			from++
		}
	}
	bytes := 0
	for _, k := range keys[from:] {
		if !scope.Contains(k) {
			continue
		}
		e := Entry{Key: k, Value: s.values[k]}
		bytes += e.size()
		if bytes > maxBytes {
			return entries, false
		}
		entries = append(entries, e)
	}
	return entries, true
}

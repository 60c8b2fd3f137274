package distribution

import "slices"

// Retention limits the changes that a log keeps besides its state. Zero fields mean the defaults.
type Retention struct {
	Changes int // maximum number of changes, 0 for 4096
	Bytes   int // maximum size of the changes in bytes, 0 for 16 MiB
}

const (
	defaultRetainedChanges = 4096
	defaultRetainedBytes   = 16 << 20
)

func (r Retention) orDefault() Retention {
	if r.Changes == 0 {
		r.Changes = defaultRetainedChanges
	}
	if r.Bytes == 0 {
		r.Bytes = defaultRetainedBytes
	}
	return r
}

// record is a change of the log with what is needed to compute the digest of the state before it.
type record struct {
	Change
	digestChanges map[bucket]Digest // by how much the change altered the digest of each bucket
	bytes         int
}

// Log holds the newest numbered changes and the state that results from all changes. Changes beyond the Retention are
// compacted: they are dropped, and only the state contains their effect. It is not safe for concurrent use.
type Log struct {
	retention Retention
	head      Version
	oldest    Version // version of the change directly before the oldest kept one
	records   []record
	bytes     int // total size of records
	state     *State
}

// NewLog returns an empty log.
func NewLog(retention Retention) *Log {
	return &Log{retention: retention.orDefault(), state: NewState()}
}

// NewLogAt returns a log that continues from the state of a snapshot. The log takes ownership of state.
func NewLogAt(retention Retention, version Version, state *State) *Log {
	return &Log{retention: retention.orDefault(), head: version, oldest: version, state: state}
}

// Head returns the version of the newest change.
func (l *Log) Head() Version { return l.head }

// Oldest returns the oldest version whose following changes are all in the log.
func (l *Log) Oldest() Version { return l.oldest }

// State returns the state at the head. The caller must not modify it.
func (l *Log) State() *State { return l.state }

// Open implements Writer. It appends an empty change in the new epoch, so that the head is above all versions of older
// writers.
func (l *Log) Open(now int64, epoch uint64) (Change, error) {
	if epoch <= l.head.Epoch {
		return Change{}, &FencedError{Open: l.head.Epoch, Given: epoch}
	}
	if epoch-l.head.Epoch > MaxEpochStep {
		return Change{}, &EpochStepError{Open: l.head.Epoch, Given: epoch}
	}
	change := Change{Version: Version{Epoch: epoch, Number: l.head.Number + 1}, Published: now}
	l.append(change)
	return change, nil
}

// Append implements Writer.
func (l *Log) Append(now int64, epoch uint64, expected *Version, mutations []Mutation) (Change, error) {
	if epoch != l.head.Epoch || epoch == 0 {
		return Change{}, &FencedError{Open: l.head.Epoch, Given: epoch}
	}
	if expected != nil && *expected != l.head {
		return Change{}, &ConflictError{Expected: *expected, Head: l.head}
	}
	if err := l.checkAppend(mutations); err != nil {
		return Change{}, err
	}
	change := Change{Version: Version{Epoch: epoch, Number: l.head.Number + 1}, Published: now,
		Mutations: slices.Clone(mutations)}
	l.append(change)
	return change, nil
}

func (l *Log) checkAppend(mutations []Mutation) error {
	if len(mutations) == 0 {
		return &EmptyChangeError{}
	}
	if err := checkMutations(mutations); err != nil {
		return err
	}
	for _, m := range mutations {
		if _, exists := l.state.values[m.Key]; m.Delete && !exists {
			return &KeyError{Key: m.Key, Why: "is not held and cannot be deleted"}
		}
	}
	if _, bytes := l.state.preview([]Change{{Mutations: mutations}}); bytes > MaxStateBytes {
		return &TooLargeError{What: "the state", Bytes: bytes, Max: MaxStateBytes}
	}
	return nil
}

// applyUpdate applies an update that a relay's subscriber has checked.
func (l *Log) applyUpdate(update *Update) {
	if update.FullState != nil {
		l.head = update.To
		l.oldest = update.To
		l.records = nil
		l.bytes = 0
		l.state = update.FullState.Clone()
		return
	}
	for _, change := range update.Changes {
		l.append(change)
	}
}

func (l *Log) append(change Change) {
	r := record{Change: change, digestChanges: map[bucket]Digest{}, bytes: change.size()}
	for _, m := range change.Mutations {
		b := bucketOf(m.Key)
		r.digestChanges[b] = l.state.digests[b]
	}
	l.state.apply([]Change{change})
	for b, before := range r.digestChanges {
		r.digestChanges[b] = l.state.digests[b].minus(before)
	}
	l.records = append(l.records, r)
	l.bytes += r.bytes
	l.head = change.Version
	l.compact()
}

// compact drops the oldest changes until the log is within its retention. The newest change is always kept.
func (l *Log) compact() {
	drop := 0
	for len(l.records)-drop > 1 && (len(l.records)-drop > l.retention.Changes || l.bytes > l.retention.Bytes) {
		l.bytes -= l.records[drop].bytes
		l.oldest = l.records[drop].Version
		drop++
	}
	if drop > 0 {
		l.records = slices.Delete(l.records, 0, drop)
	}
}

// indexAfter returns the index of the first record after a version. Errors: *BehindError, *CompactedError.
func (l *Log) indexAfter(from Version) (int, error) {
	if l.head.Less(from) {
		return 0, &BehindError{From: from, Head: l.head}
	}
	if from == l.oldest {
		return 0, nil
	}
	if from.Number <= l.oldest.Number || from.Number > l.head.Number {
		return 0, &CompactedError{From: from, Oldest: l.oldest}
	}
	index := int(from.Number - l.oldest.Number)
	if l.records[index-1].Version != from {
		return 0, &CompactedError{From: from, Oldest: l.oldest}
	}
	return index, nil
}

// changes returns the changes after from, up to until or as many as fit in MaxDeltaBytes. Errors: *BehindError,
// *CompactedError.
func (l *Log) changes(from, until Version, scope Scope) (*Delta, error) {
	index, err := l.indexAfter(from)
	if err != nil {
		return nil, err
	}
	d := &Delta{From: from, To: from}
	bytes := 0
	for ; index < len(l.records) && d.To.Less(until); index++ {
		change := filterChange(l.records[index].Change, scope)
		bytes += change.size()
		if bytes > MaxDeltaBytes && len(d.Changes) > 0 {
			break
		}
		d.Changes = append(d.Changes, change)
		d.To = change.Version
	}
	d.Digest = l.digestBefore(index, scope).at(d.To)
	return d, nil
}

// digestBefore returns the digest of the state before records[index], in a scope.
func (l *Log) digestBefore(index int, scope Scope) Digest {
	digest := l.state.Digest(scope)
	for _, r := range l.records[index:] {
		for b, added := range r.digestChanges {
			if scope.contains(b) {
				digest = digest.minus(added)
			}
		}
	}
	return digest
}

// filterChange returns the change with only those mutations that are in the scope.
func filterChange(change Change, scope Scope) Change {
	var mutations []Mutation
	for _, m := range change.Mutations {
		if scope.Contains(m.Key) {
			mutations = append(mutations, m)
		}
	}
	change.Mutations = mutations
	return change
}

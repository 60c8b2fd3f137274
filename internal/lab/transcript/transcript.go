// Package transcript hashes what crosses the network of a simulated run, so that a test can tell whether a change of
// the code has changed what the program does. The hashes depend on times and bytes only, not on names in the code.
//
// The simulators of the lab write to a Transcript; tests compare its sum with one that is committed in testdata.
package transcript

import (
	"bufio"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"os"
	"strings"
)

// Transcript is the running hash of one run. A nil Transcript discards what is added to it. It is not safe for
// concurrent use.
type Transcript struct {
	hash   hash.Hash
	frames int
}

// New returns an empty transcript.
func New() *Transcript { return &Transcript{hash: sha256.New()} }

// Add adds one frame: the numbers that identify it (its time in nanoseconds first) and its bytes.
func (t *Transcript) Add(payload []byte, numbers ...int64) {
	if t == nil {
		return
	}
	t.frames++
	head := make([]byte, 0, 8*(len(numbers)+1))
	for _, number := range numbers {
		head = binary.BigEndian.AppendUint64(head, uint64(number))
	}
	head = binary.BigEndian.AppendUint64(head, uint64(len(payload)))
	t.hash.Write(head)
	t.hash.Write(payload)
}

// Sum returns the number of frames and their SHA-256 as one word, in the form that a file of sums holds.
func (t *Transcript) Sum() string {
	return fmt.Sprintf("%d:%s", t.frames, hex.EncodeToString(t.hash.Sum(nil)))
}

// ReadSums reads a file of sums, keyed by the name of the run. Each line holds a sum, a space and the name.
func ReadSums(path string) (map[string]string, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	sums := map[string]string{}
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		sum, name, found := strings.Cut(lines.Text(), " ")
		if !found {
			return nil, fmt.Errorf("%s: line %q is not a sum and a name", path, lines.Text())
		}
		sums[name] = sum
	}
	return sums, lines.Err()
}

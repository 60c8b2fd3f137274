package distribution

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// Digest stands for a set of entries, whatever their order: the sum of the SHA-256 hashes of its entries, word by
// word, modulo 2^64. So it is kept up to date by one addition or subtraction an entry. It finds states that have
// diverged; it is no signature, and proves nothing against a server that means harm. The zero value is that of no
// entries.
type Digest [sha256.Size / 8]uint64

// digestOf is the digest of one entry.
func digestOf(key Key, value string) (d Digest) {
	hash := sha256.New()
	var length [8]byte
	for _, text := range []string{string(key.Kind), key.Scope, key.Name, value} {
		binary.BigEndian.PutUint64(length[:], uint64(len(text)))
		hash.Write(length[:])
		hash.Write([]byte(text))
	}
	sum := hash.Sum(nil)
	for i := range d {
		d[i] = binary.BigEndian.Uint64(sum[8*i:])
	}
	return d
}

func (d Digest) plus(other Digest) Digest {
	for i := range d {
		d[i] += other[i]
	}
	return d
}

func (d Digest) minus(other Digest) Digest {
	for i := range d {
		d[i] -= other[i]
	}
	return d
}

// at is the digest of a state at a version: it tells the same state at two versions apart, so that a version that was
// changed on its way is found as well.
func (d Digest) at(v Version) Digest {
	return d.plus(digestOf(Key{Kind: "version", Name: v.String()}, ""))
}

func (d Digest) bytes() []byte {
	var b []byte
	for _, word := range d {
		b = binary.BigEndian.AppendUint64(b, word)
	}
	return b
}

// String gives the word for log lines.
func (d Digest) String() string { return hex.EncodeToString(d.bytes()) }

// MarshalText writes 64 hexadecimal digits.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads 64 hexadecimal digits.
func (d *Digest) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(string(text))
	if err != nil {
		return fmt.Errorf("digest: %w", err)
	}
	if len(b) != sha256.Size {
		return fmt.Errorf("digest: %d bytes instead of %d", len(b), sha256.Size)
	}
	for i := range d {
		d[i] = binary.BigEndian.Uint64(b[8*i:])
	}
	return nil
}

package distribution

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// Digest is an order-independent hash of a set of entries: the sum of the entries' SHA-256 hashes, word by word, modulo
// 2^64. One addition or subtraction per changed entry keeps it up to date. It detects states that have diverged by
// accident; it does not protect against a malicious server. The zero value is the digest of the empty set.
type Digest [sha256.Size / 8]uint64

// digestOf returns the digest of one entry.
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

// at combines the digest of a state with its version. Equal states at different versions then have different digests,
// so a version that was corrupted in transit is detected too.
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

// String returns 64 hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d.bytes()) }

// MarshalText implements encoding.TextMarshaler. It writes 64 hexadecimal digits.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It reads 64 hexadecimal digits.
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

// Package buffer holds the one buffer of a connection.
package buffer

// MinCapacity is what a buffer holds at first and keeps when it is empty.
const MinCapacity = 4 << 10

// Buffer holds what was read and not yet used up. The zero value is empty.
type Buffer struct {
	data       []byte
	start, end int
}

// Bytes are those not yet used up, valid until the next Space.
func (b *Buffer) Bytes() []byte { return b.data[b.start:b.end] }

// Size is what the buffer takes of memory.
func (b *Buffer) Size() int { return len(b.data) }

// Space makes room for n more bytes and gives it: it moves what is left to the front, and grows where that is
// not enough.
func (b *Buffer) Space(n int) []byte {
	if b.start > 0 && len(b.data)-b.end < n {
		b.end = copy(b.data, b.data[b.start:b.end])
		b.start = 0
	}
	if needed := b.end + n; len(b.data) < needed {
		larger := make([]byte, max(needed, 2*len(b.data), MinCapacity))
		b.end = copy(larger, b.data[b.start:b.end])
		b.start = 0
		b.data = larger
	}
	return b.data[b.end : b.end+n]
}

// Filled says that n bytes of the space were filled.
func (b *Buffer) Filled(n int) { b.end += n }

// Use drops the first n bytes. An empty buffer that has grown is let go, so that one large value does not stay.
func (b *Buffer) Use(n int) {
	b.start += n
	if b.start < b.end {
		return
	}
	b.start = 0
	b.end = 0
	if len(b.data) > MinCapacity {
		b.data = nil
	}
}

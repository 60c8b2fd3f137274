// Package buffer is the input buffer of a connection.
package buffer

// MinCapacity is the smallest capacity that a buffer allocates, and the largest that it keeps when it becomes empty, in
// bytes.
const MinCapacity = 4 << 10

// Buffer holds the bytes that were read and not yet consumed. The zero value is an empty buffer.
type Buffer struct {
	data       []byte
	start, end int
}

// Bytes returns the unconsumed bytes. The slice is valid until the buffer is next modified.
func (b *Buffer) Bytes() []byte { return b.data[b.start:b.end] }

// Cap returns the memory that the buffer occupies, in bytes.
func (b *Buffer) Cap() int { return len(b.data) }

// Reserve returns a slice of n bytes behind the content, for the caller to read into. It moves the content to the front
// of the buffer if there is too little room behind it, and allocates a larger array if that is not enough.
func (b *Buffer) Reserve(n int) []byte {
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

// Commit adds to the content the first n bytes of the slice that was last returned for reading into.
func (b *Buffer) Commit(n int) { b.end += n }

// Consume removes the first n bytes of the content. A buffer that becomes empty releases its memory if that exceeds
// MinCapacity, so that one large value does not occupy memory afterwards.
func (b *Buffer) Consume(n int) {
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

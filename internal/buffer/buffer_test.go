package buffer

import "testing"

func appendText(b *Buffer, text string) {
	copy(b.Reserve(len(text)), text)
	b.Commit(len(text))
}

func TestBufferMovesContentBeforeGrowing(t *testing.T) {
	t.Run("content moves to the front before the buffer grows", func(t *testing.T) {
		var b Buffer
		appendText(&b, string(make([]byte, MinCapacity-1)))
		b.Consume(MinCapacity - 3)
		appendText(&b, "xyz")
		if got := string(b.Bytes()); got != "\x00\x00xyz" || len(b.data) != MinCapacity || b.start != 0 {
			t.Fatalf("content %q in a buffer of %d bytes, starting at %d", got, len(b.data), b.start)
		}
	})
	t.Run("content is kept when the buffer grows", func(t *testing.T) {
		var b Buffer
		appendText(&b, "ab")
		appendText(&b, string(make([]byte, MinCapacity)))
		if got := b.Bytes(); len(got) != MinCapacity+2 || string(got[:2]) != "ab" {
			t.Fatalf("content is %d bytes long", len(got))
		}
	})
}

func TestEmptyBufferReleasesLargeArray(t *testing.T) {
	var b Buffer
	appendText(&b, string(make([]byte, 2*MinCapacity)))
	b.Consume(2 * MinCapacity)
	if len(b.Bytes()) != 0 || b.data != nil {
		t.Fatalf("an empty buffer keeps %d bytes", len(b.data))
	}
}

package buffer

import "testing"

func appendText(b *Buffer, text string) {
	copy(b.Space(len(text)), text)
	b.Filled(len(text))
}

func TestBufferMovesContentBeforeGrowing(t *testing.T) {
	t.Run("what is left moves to the front before the buffer grows", func(t *testing.T) {
		var b Buffer
		appendText(&b, string(make([]byte, MinCapacity-1)))
		b.Use(MinCapacity - 3)
		appendText(&b, "xyz")
		if got := string(b.Bytes()); got != "\x00\x00xyz" || len(b.data) != MinCapacity || b.start != 0 {
			t.Fatalf("holds %q in %d bytes from %d", got, len(b.data), b.start)
		}
	})
	t.Run("it grows and keeps what it holds", func(t *testing.T) {
		var b Buffer
		appendText(&b, "ab")
		appendText(&b, string(make([]byte, MinCapacity)))
		if got := b.Bytes(); len(got) != MinCapacity+2 || string(got[:2]) != "ab" {
			t.Fatalf("holds %d bytes", len(got))
		}
	})
}

func TestEmptyBufferReleasesLargeArray(t *testing.T) {
	var b Buffer
	appendText(&b, string(make([]byte, 2*MinCapacity)))
	b.Use(2 * MinCapacity)
	if len(b.Bytes()) != 0 || b.data != nil {
		t.Fatalf("an empty buffer keeps %d bytes", len(b.data))
	}
}

package buffer

import "testing"

func fill(b *Buffer, text string) {
	copy(b.Space(len(text)), text)
	b.Filled(len(text))
}

func TestSpace(t *testing.T) {
	t.Run("what is left moves to the front before the buffer grows", func(t *testing.T) {
		var b Buffer
		fill(&b, string(make([]byte, MinCapacity-1)))
		b.Use(MinCapacity - 3)
		fill(&b, "xyz")
		if got := string(b.Bytes()); got != "\x00\x00xyz" || len(b.data) != MinCapacity || b.from != 0 {
			t.Fatalf("holds %q in %d bytes from %d", got, len(b.data), b.from)
		}
	})
	t.Run("it grows and keeps what it holds", func(t *testing.T) {
		var b Buffer
		fill(&b, "ab")
		fill(&b, string(make([]byte, MinCapacity)))
		if got := b.Bytes(); len(got) != MinCapacity+2 || string(got[:2]) != "ab" {
			t.Fatalf("holds %d bytes", len(got))
		}
	})
}

func TestUse(t *testing.T) {
	var b Buffer
	fill(&b, string(make([]byte, 2*MinCapacity)))
	b.Use(2 * MinCapacity)
	if len(b.Bytes()) != 0 || b.data != nil {
		t.Fatalf("an empty buffer keeps %d bytes", len(b.data))
	}
}

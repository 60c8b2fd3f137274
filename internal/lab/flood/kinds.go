package flood

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"ospreycroft/internal/resp"
)

// Kind is what a flooding client sends, again and again.
type Kind struct {
	// Name identifies the kind in reports and on the command line.
	Name string
	// Block returns the bytes of the block with the given number; numbers are used once.
	Block func(number int64) []byte
	// PieceBytes is the size of the writes in bytes; 0 means that a block is written at once.
	PieceBytes int
	// PieceDelay is the pause behind each write.
	PieceDelay time.Duration
	// Stall has a client wait behind its first block until the limiter ends the connection.
	Stall bool
	// Leave has a client close its connection behind each block, without reading its answers.
	Leave bool
	// Valid tells that the requests are valid, so servers see attempts of requests that no record has.
	Valid bool
}

const (
	smallCommands   = 1000 // commands in a block of small ones
	requestCommands = 200  // commands in a block of requests
	tinyPieceBytes  = 1
	leaveCommands   = 300 // requests of a client that leaves
	fieldsBytes     = 600 // of the list of a request of many fields
	maxFieldBytes   = 16
	slowPieceBytes  = 2 << 10
	slowPieceDelay  = 50 * time.Millisecond
)

// Kinds are all kinds of floods.
var Kinds = []Kind{
	{Name: "pings", Block: func(int64) []byte {
		return bytes.Repeat([]byte("*1\r\n$4\r\nPING\r\n"), smallCommands)
	}},
	{Name: "unknown-commands", Block: func(number int64) []byte {
		return repeatCommand(smallCommands, func(i int64) []string {
			return []string{fmt.Sprintf("C%x", number*smallCommands+i)}
		})
	}},
	{Name: "new-classes", Block: func(number int64) []byte {
		return repeatCommand(requestCommands, func(i int64) []string {
			unique := number*requestCommands + i
			return []string{"SVC.QUERY", "00000000000000a0", fmt.Sprintf("n%x", unique),
				fmt.Sprintf("c=k%x,t=house,d=400,units=1,spread=1,first=0", unique)}
		})
	}},
	{Name: "new-fields", Block: func(number int64) []byte {
		return repeatCommand(requestCommands, func(i int64) []string {
			return []string{"SVC.QUERY", "00000000000000a0", fmt.Sprintf("f%x", number*requestCommands+i), shortFields(fieldsBytes)}
		})
	}},
	{Name: "pings-in-bytes", Block: func(int64) []byte {
		return bytes.Repeat([]byte("*1\r\n$4\r\nPING\r\n"), requestCommands)
	}, PieceBytes: tinyPieceBytes},
	{Name: "half-requests", Block: func(int64) []byte { return longRequest()[:resp.MaxValueBytes*3/4] }, Stall: true},
	{Name: "slow-requests", Block: func(int64) []byte { return longRequest() }, PieceBytes: slowPieceBytes,
		PieceDelay: slowPieceDelay},
	{Name: "long-requests", Block: func(int64) []byte { return longRequest() }},
	{Name: "leaving", Block: func(number int64) []byte {
		return repeatCommand(leaveCommands, func(i int64) []string {
			return []string{"SVC.QUERY", "00000000000000ff", fmt.Sprintf("l%x-%x", number, i),
				"c=fetch,t=house,d=300,units=1,spread=1,first=0"}
		})
	}, Leave: true, Valid: true},
	{Name: "malformed", Block: func(int64) []byte { return []byte("*99999999\r\n") }},
}

// KindByName returns the kind with a name.
func KindByName(name string) (Kind, bool) {
	for _, kind := range Kinds {
		if kind.Name == name {
			return kind, true
		}
	}
	return Kind{}, false
}

// repeatCommand encodes count commands with the words that word returns for each.
func repeatCommand(count int64, words func(i int64) []string) []byte {
	var text []byte
	for i := range count {
		var command [][]byte
		for _, word := range words(i) {
			command = append(command, []byte(word))
		}
		text = resp.AppendCommand(text, command...)
	}
	return text
}

// shortFields returns a list of many short fields, without a class, of about size bytes.
func shortFields(size int) string {
	var list strings.Builder
	list.WriteString("t=house")
	for i := 0; list.Len() < size; i++ {
		_, _ = fmt.Fprintf(&list, ",z%x=1", i)
	}
	return list.String()
}

// longRequest returns a request whose list of very many short fields is nearly as long as a value may be.
func longRequest() []byte {
	return repeatCommand(1, func(int64) []string {
		return []string{"SVC.QUERY", "00000000000000a0", "long", shortFields(resp.MaxValueBytes - maxFieldBytes)}
	})
}

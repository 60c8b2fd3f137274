package limiter

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/resp"
)

// commandWith returns the command of a read request with old replaced by new.
func commandWith(old, new string) string {
	return strings.Replace(command("j", "read", "480"), old, new, 1)
}

// longFieldList returns a command whose list of fields is as long as a value may be. All names differ, and the class does
// not exist.
func longFieldList() string {
	var list strings.Builder
	list.WriteString("c=no-such-class,t=plain,d=2000,units=1,spread=1,first=0")
	for i := 0; list.Len() < resp.MaxValueBytes-16; i++ {
		fmt.Fprintf(&list, ",z%x=1", i)
	}
	return string(resp.AppendCommand(nil, []byte("SVC.QUERY"), []byte("00000000000000ff"), []byte("j"),
		[]byte(list.String())))
}

// TestLongFieldList guards against a command that holds the reducer because each name in its list is compared with all
// names before it. Sixteen clients may send such commands at once, and an answer may be late by half a second at most.
func TestLongFieldList(t *testing.T) {
	const longestStep = 500 * time.Millisecond / 16
	l, w := newTestLimiter(t)
	text := longFieldList()
	shortest := time.Duration(math.MaxInt64) // of several, as the machine may hold up some
	for range 5 {
		w.wrote[clientConn] = ""
		began := time.Now()
		w.receive(l, 0, clientConn, text)
		shortest = min(shortest, time.Since(began))
		requireText(t, w.wrote[clientConn], "-ERR unknown class\r\n")
	}
	require.Less(t, shortest, longestStep)
	t.Logf("a command of %d bytes takes %v", len(text), shortest)
}

// TestRepeatedField checks that a name that is given twice is found wherever it stands, also an empty one.
func TestRepeatedField(t *testing.T) {
	l, _ := newTestLimiter(t)
	many := func(count int) string {
		var list strings.Builder
		for i := range count {
			fmt.Fprintf(&list, "name%d=1,", i)
		}
		return list.String()
	}
	for list, want := range map[string]error{
		"=1,r=1":                      nil,
		"=1,=2":                       errField,
		"r=1,=1,=2":                   errField,
		many(3000) + "name2999=1":     errField,
		many(3000) + "name0=1":        errField,
		many(3000) + "name3000=1":     nil,
		"r=1," + many(500) + "r=1":    errField,
		"name1=1," + many(1):          errField,
		strings.Repeat("a", 9) + "=":  errField,
		strings.Repeat("a", 9) + "=b": nil,
	} {
		parsed := parsedRequest{}
		require.Equal(t, want, parsed.parseFields([]byte(list), l.settings, &l.scratch.names), "%.30q", list)
	}
}

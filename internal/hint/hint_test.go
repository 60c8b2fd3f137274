package hint_test

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/counterwire"
	"ospreycroft/internal/discovery"
	"ospreycroft/internal/hint"
	"ospreycroft/internal/settings"
	"ospreycroft/internal/sockets"
)

// testedElsewhere lists the error types that are produced in the tests of their own packages, or in those of the
// limiter, which logs them.
var testedElsewhere = []string{
	"counterwire.MismatchError",
	"counterwire.RejectedError",
	"coldstart.SettingError",
	"coldstart.LateNotificationError",
	"sockets.AcceptError",
	"operator.UnreadableError",
	"operator.KeyError",
	"atomicfile.UnreadableError",
	"atomicfile.TruncatedError",
	"atomicfile.ChecksumError",
	"atomicfile.FormatError",
	"atomicfile.WriteError",
	"snapshot.OwnerError",
	"snapshot.StaleError",
	"distribution.KindError",
	"distribution.KeyError",
	"distribution.TooLargeError",
	"distribution.EmptyChangeError",
	"distribution.FencedError",
	"distribution.EpochStepError",
	"distribution.ConflictError",
	"distribution.SkipError",
	"distribution.StaleAnswerError",
	"distribution.DigestError",
	"distribution.CompactedError",
	"distribution.BehindError",
	"distribution.NotReadyError",
	"distribution.ThrottledError",
	"distribution.ScopeError",
	"distribution.ReadOnlyError",
	"distribution.FixedKeyError",
	"distribution.RefusedError",
	"distribution.MalformedError",
	"distribution.NoRelayError",
	"transport.UnreachableError",
	"transport.UnansweredError",
	"transport.TruncatedError",
	"transport.TooLongError",
	"transport.StatusError",
	"statefile.OwnerError",
	"statefile.StaleError",
	"statefile.OlderError",
	"main.FlagError",
	"main.ListenError",
	"main.SourceStateError",
	"main.NotInForceError",
}

// matchType returns the name of the type E, and whether the chain of err holds an E with an error message and a hint.
func matchType[E hint.Error](err error) (string, bool) {
	var e E
	return strings.TrimPrefix(
			reflect.TypeFor[E]().String(),
			"*",
		), errors.As(err, &e) && e.Hint() != "" &&
			e.Error() != ""
}

func responseError(text string) error {
	_, _, err := discovery.ReadResponse([]byte(text))
	return err
}

func listError(text string) error {
	_, err := discovery.DecodeList([]byte(text))
	return err
}

func configError(text string) error {
	_, err := settings.DecodeConfig([]byte(text))
	return err
}

func listenError(address string) error {
	_, err := sockets.Listen(address, 1, 64)
	return err
}

// TestErrors provokes errors with invalid input. errors.As must find each of them, also when it is wrapped, and
// docs/on-call.md must list every type that has a Hint method. Each type must be provoked either here or, as an entry
// of testedElsewhere, in another test.
func TestErrors(t *testing.T) {
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = occupied.Close() }()
	_, missing := settings.ReadFile(filepath.Join(t.TempDir(), "none.json"))
	_, _, _, malformedReply := counterwire.ReadReply([]byte("what\r\n"))
	provoked := map[string]bool{}
	for _, c := range []struct {
		name      string
		err       error
		matchType func(error) (string, bool)
		want      string // part of the error message
	}{
		{"another protocol", responseError("+PONG\r\n"), matchType[*discovery.MalformedError], "HTTP"},
		{"a length of 5 MiB", responseError("HTTP/1.1 200 OK\r\nContent-Length: 5242880\r\n\r\n"),
			matchType[*discovery.TooLongError], "body"},
		{"too many calls at once", discovery.Response{Status: 503}.Err(), matchType[*discovery.ThrottledError], "503"},
		{"calls too often", discovery.Response{Status: 429}.Err(), matchType[*discovery.ThrottledError], "429"},
		{"unknown path", discovery.Response{Status: 404}.Err(), matchType[*discovery.StatusError], "404 Not Found"},
		{"truncated list", listError(`{"generation":4,`), matchType[*discovery.ListMalformedError], "JSON"},
		{"server without an id", listError(`{"generation":4,"instances":[{"lifecycle":"terminating"}]}`),
			matchType[*discovery.ListRefusedError], "0: instanceId"},
		{"missing file", missing, matchType[*settings.UnreadableError], "none.json"},
		{"file that is not JSON", configError("listen = 1"), matchType[*settings.MalformedError], "invalid character"},
		{"missing settings", configError("{}"), matchType[*settings.KeyError], "settings: missing"},
		{"settings of the wrong type", configError(`{"settings":[]}`), matchType[*settings.KeyError], "settings: "},
		{"name of the wrong type", configError(`{"name":7}`), matchType[*settings.KeyError], "name: "},
		{"address in use", listenError(occupied.Addr().String()),
			matchType[*sockets.AddressInUseError], occupied.Addr().String()},
		{"address of another machine", listenError("203.0.113.1:1"), matchType[*sockets.AddressError], "203.0.113.1:1"},
		{"more descriptors than the kernel allows", sockets.CheckDescriptors(1 << 60),
			matchType[*sockets.DescriptorsError], "1152921504606846976"},
		{"line of another protocol", malformedReply, matchType[*counterwire.MalformedError], `what\r\n`},
	} {
		t.Run(c.name, func(t *testing.T) {
			name, matches := c.matchType(fmt.Errorf("wrapped: %w", c.err))
			provoked[name] = true
			require.True(t, matches, "%T: %v is not a %s", c.err, c.err, name)
			require.ErrorContains(t, c.err, c.want)
		})
	}
	page, err := os.ReadFile("../../docs/on-call.md")
	require.NoError(t, err)
	var listed []string
	for _, row := range regexp.MustCompile("(?m)^\\| `([a-z]+\\.[A-Z]\\w+)` \\| .+ \\| .+ \\|$").FindAllSubmatch(page, -1) {
		listed = append(listed, string(row[1]))
	}
	hintTypes := hintTypes(t)
	require.ElementsMatch(t, hintTypes, listed, "types with a Hint method (first) and rows of docs/on-call.md (second)")
	for _, name := range hintTypes {
		require.True(t, provoked[name] != slices.Contains(testedElsewhere, name),
			"%s must be provoked either here or elsewhere; provoked here: %v", name, provoked[name])
	}
}

// hintTypes returns all types with a Hint method as package.Name, from the source text. The lab is left out: its own
// page lists its types.
func hintTypes(t *testing.T) (names []string) {
	err := filepath.WalkDir("../..", func(path string, entry os.DirEntry, err error) error {
		if err == nil && entry.IsDir() && entry.Name() == "lab" {
			return filepath.SkipDir
		}
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, method := range regexp.MustCompile(`(?m)^func \((?:\w+ )?\*?(\w+)\) Hint\(`).FindAllSubmatch(text, -1) {
			names = append(
				names,
				string(regexp.MustCompile(`(?m)^package (\w+)`).FindSubmatch(text)[1])+"."+string(method[1]),
			)
		}
		return err
	})
	require.NoError(t, err)
	return names
}

func TestLine(t *testing.T) {
	inner := &discovery.ThrottledError{Status: 503}
	for _, c := range []struct {
		name string
		err  error
		want string
	}{
		{"hint of the outermost error that has one", &settings.KeyError{Key: "known", Cause: inner},
			fmt.Sprintf("error=%q hint=%q", "known: "+inner.Error(), (&settings.KeyError{Key: "known"}).Hint())},
		{"hint of a wrapped error", fmt.Errorf("a \"b\": %w", inner),
			fmt.Sprintf("error=%q hint=%q", "a \"b\": "+inner.Error(), inner.Hint())},
		{"long text is truncated", errors.New(strings.Repeat("x", 401)),
			`error="` + strings.Repeat("x", 400) + `..." hint="report it, with this line"`},
		{"error without a hint", errors.New("x"), `error="x" hint="report it, with this line"`},
	} {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, hint.Line(c.err)) })
	}
}

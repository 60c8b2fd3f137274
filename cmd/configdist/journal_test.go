package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/distribution"
	"ospreycroft/internal/distribution/statefile"
	"ospreycroft/internal/distribution/transport"
	"ospreycroft/internal/lab/memfs"
)

// journaled is a source with its epoch open, whose state goes to a disk of the test's.
func journaled(t *testing.T, disk *memfs.Disk) *journal {
	t.Helper()
	now := int64(0)
	clock := func() int64 { now++; return now }
	j := &journal{
		clock: clock, log: distribution.NewLog(distribution.Retention{}),
		place: statefile.Place{Dir: "dir", Subscriber: "source", MaxAge: 1 << 60, Files: disk},
	}
	source := distribution.NewSource(distribution.NewLog(distribution.Retention{}), distribution.Budget{})
	change, err := source.Open(clock(), 1)
	require.NoError(t, err)
	require.NoError(t, j.open(t.Context(), change))
	j.next = transport.NewSourceServer(source, clock)
	return j
}

// publishTo publishes an address and gives the answer's status.
func publishTo(j *journal, address string) int {
	answer := httptest.NewRecorder()
	body := `{"epoch":1,"mutations":[{"kind":"endpoints","name":"discovery","value":"` + address + `"}]}`
	j.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "/v1/changes", strings.NewReader(body)))
	return answer.Code
}

// TestRefusedStateIsOwed: the disk refuses a publication's state for a while, at each step of writing it. The publisher is
// told so, nothing else is taken meanwhile, and what is in force comes to the disk without another publication.
func TestRefusedStateIsOwed(t *testing.T) {
	for _, step := range []string{"write", "rename", "sync"} {
		t.Run(step, func(t *testing.T) {
			disk := memfs.New()
			j := journaled(t, disk)
			require.Equal(t, http.StatusOK, publishTo(j, "127.0.0.1:1"))
			disk.Fail = step
			require.Equal(t, http.StatusInternalServerError, publishTo(j, "127.0.0.1:2"))
			head := j.log.Head()
			require.Equal(t, http.StatusInternalServerError, publishTo(j, "127.0.0.1:3"))
			require.Equal(t, head, j.log.Head(), "a further change was taken on a disk that refuses")
			disk.Fail = ""
			require.NoError(t, j.saveOwed())
			require.False(t, j.unsaved)
			require.Contains(t, string(disk.Held[j.place.Path()]), "127.0.0.1:2")
			require.Equal(t, http.StatusOK, publishTo(j, "127.0.0.1:3"))
			require.Contains(t, string(disk.Held[j.place.Path()]), "127.0.0.1:3")
		})
	}
}

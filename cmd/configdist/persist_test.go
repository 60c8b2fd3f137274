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

// newTestHandler returns the handler of a source that has opened epoch 1 and saves its state to disk.
func newTestHandler(t *testing.T, disk *memfs.Disk) *persistingHandler {
	t.Helper()
	now := int64(0)
	clock := func() int64 { now++; return now }
	h := &persistingHandler{
		clock: clock, log: distribution.NewLog(distribution.Retention{}),
		stateFile: statefile.Store{Dir: "dir", Subscriber: "source", MaxAge: 1 << 60, Files: disk},
	}
	source := distribution.NewSource(distribution.NewLog(distribution.Retention{}), distribution.Budget{})
	change, err := source.Open(clock(), 1)
	require.NoError(t, err)
	require.NoError(t, h.persistWithRetries(t.Context(), change))
	h.next = transport.NewSourceServer(source, clock)
	return h
}

// publishTo publishes the discovery service's address and returns the status of the response.
func publishTo(h *persistingHandler, address string) int {
	response := httptest.NewRecorder()
	body := `{"epoch":1,"mutations":[{"kind":"endpoints","name":"discovery","value":"` + address + `"}]}`
	h.ServeHTTP(response, httptest.NewRequest(http.MethodPost, "/v1/changes", strings.NewReader(body)))
	return response.Code
}

// TestFailedSaveIsRetried lets each step of saving a published change fail for a while. The publisher must get an error,
// further publications must be refused meanwhile, and the state must be saved later without another publication.
func TestFailedSaveIsRetried(t *testing.T) {
	for _, step := range []string{"write", "rename", "sync"} {
		t.Run(step, func(t *testing.T) {
			disk := memfs.New()
			h := newTestHandler(t, disk)
			require.Equal(t, http.StatusOK, publishTo(h, "127.0.0.1:1"))
			disk.FailingOperation = step
			require.Equal(t, http.StatusInternalServerError, publishTo(h, "127.0.0.1:2"))
			head := h.log.Head()
			require.Equal(t, http.StatusInternalServerError, publishTo(h, "127.0.0.1:3"))
			require.Equal(t, head, h.log.Head(), "a further change was accepted while the disk failed")
			disk.FailingOperation = ""
			require.NoError(t, h.saveIfUnsaved())
			require.False(t, h.unsaved)
			require.Contains(t, string(disk.Files[h.stateFile.Path()]), "127.0.0.1:2")
			require.Equal(t, http.StatusOK, publishTo(h, "127.0.0.1:3"))
			require.Contains(t, string(disk.Files[h.stateFile.Path()]), "127.0.0.1:3")
		})
	}
}

package snapshot

import (
	"errors"
	"io/fs"
	"os"
	"reflect"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/atomicfile"
	"ospreycroft/internal/lab/memfs"
	"ospreycroft/internal/machineclock"
)

var testPlace = Store{Dir: "/d", Installation: "east", Limiter: "n/1", MaxAge: 3600e9}

func newSnapshot(generation int64) *Snapshot {
	return &Snapshot{
		TakenAt:    1e18,
		Discovery:  "127.0.0.1:1",
		Generation: generation,
		Servers: []Server{{ID: "s", Address: "127.0.0.1:2",
			Zone: "a", Cell: 3, Weight: 1.5, StartedAt: 1e18 - 5}, {ID: "t", Address: "127.0.0.1:3", Draining: true}},
	}
}

func TestSaveAndLoad(t *testing.T) {
	disk := memfs.New()
	if s, err := testPlace.Load(disk, 1e18); s != nil || err != nil {
		t.Fatalf("without a file: %v, %v", s, err)
	}
	err := testPlace.Save(disk, newSnapshot(7))
	if err != nil || strings.Join(disk.Log, " ") != "read write rename sync" || len(disk.Files) != 1 {
		t.Fatalf("%v, %v, %v", err, disk.Log, disk.Files)
	}
	contents := string(disk.Files[testPlace.Path()])
	requireLoadError := func(now int64, p Store, text string, want error) {
		t.Helper()
		if text != "" {
			disk.Files[testPlace.Path()] = []byte(text)
		}
		s, err := p.Load(disk, now)
		if s != nil || reflect.TypeOf(err) != reflect.TypeOf(want) || err.(interface{ Hint() string }).Hint() == "" ||
			err.Error() == "" {
			t.Fatalf("%q: %v, %T (%v), want %T", text, s, err, err, want)
		}
	}
	s, err := testPlace.Load(disk, 1e18+3600e9)
	if err != nil || s.Generation != 7 || !reflect.DeepEqual(s.Servers, newSnapshot(7).Servers) {
		t.Fatalf("%+v, %v", s, err)
	}
	for i := range len(contents) {
		disk.Files[testPlace.Path()] = []byte{}
		requireLoadError(1e18, testPlace, contents[:i], &atomicfile.TruncatedError{})
		for bit := range 8 {
			flipped := []byte(contents)
			flipped[i] ^= 1 << bit
			disk.Files[testPlace.Path()] = flipped
			s, err := testPlace.Load(disk, 1e18)
			require.True(t, s == nil && err != nil, "accepted with bit %d of byte %d flipped: %q", bit, i, flipped)
		}
	}
	requireLoadError(1e18, testPlace, contents+" ", &atomicfile.ChecksumError{})
	requireLoadError(1e18, testPlace, strings.Replace(contents, "1.5", "2.5", 1), &atomicfile.ChecksumError{})
	requireLoadError(1e18, testPlace, strings.Replace(contents, "snapshot 1", "snapshot 2", 1),
		&atomicfile.FormatError{})
	requireLoadError(1e18+3600e9+1, testPlace, contents, &StaleError{})
	requireLoadError(1e18-3600e9-1, testPlace, contents, &StaleError{})
	requireLoadError(1e18, Store{Dir: "/d", Installation: "west", Limiter: "n/1", MaxAge: 3600e9}, contents,
		&OwnerError{})
	other := Store{Dir: "/d", Installation: "east", Limiter: "n/2", MaxAge: 3600e9}
	disk.Files[other.Path()] = []byte(contents)
	requireLoadError(1e18, other, "", &OwnerError{})
	disk.FailingOperation = "read"
	requireLoadError(1e18, testPlace, contents, &atomicfile.UnreadableError{})
	// If the disk is full or another step fails, the file holds either the previous list or the new one, complete.
	for _, disk.FailingOperation = range []string{"write", "rename", "sync"} {
		for _, disk.PartialWriteBytes = range []int{0, 10, 200} {
			disk.Files = map[string][]byte{testPlace.Path(): []byte(contents)}
			err := testPlace.Save(disk, newSnapshot(8))
			var unwritten *atomicfile.WriteError
			require.True(t, errors.As(err, &unwritten) && errors.Is(err, syscall.ENOSPC) && len(disk.Files) == 1,
				"%s: %v, %v", disk.FailingOperation, err, disk.Files)
			if s, err := testPlace.Load(disk, 1e18); err != nil || s.Generation != 7 && disk.FailingOperation != "sync" {
				t.Fatalf("%s: %+v, %v", disk.FailingOperation, s, err)
			}
		}
	}
}

func TestWriter(t *testing.T) {
	slow := memfs.New()
	slow.WriteGate = make(chan bool)
	slowWriter := NewWriter(slow, testPlace, func(err error) { t.Error(err) })
	slowWriter.Save(newSnapshot(1))
	slow.WriteGate <- true // the first list is being written; the second is pending meanwhile
	slowWriter.Save(newSnapshot(2))
	go func() { slow.WriteGate <- true }()
	slowWriter.Close()
	require.Contains(t, string(slow.Files["/d/n%2F1.snapshot"]), `"generation":2`, "Close must write the pending list")
	onDisk := testPlace
	onDisk.Dir = t.TempDir()
	requireGeneration := func(generation int64) {
		s, err := onDisk.Load(atomicfile.Disk{}, 1e18)
		require.True(t, err == nil && s.Generation == generation, "%+v, %v", s, err)
	}
	w := NewWriter(atomicfile.Disk{}, onDisk, func(err error) { t.Error(err) })
	for i := range 50 {
		w.Save(newSnapshot(int64(i)))
	}
	w.Close()
	requireGeneration(49)
	entries, _ := os.ReadDir(onDisk.Dir)
	require.Len(t, entries, 1)
	onDisk.Dir += "/none"
	reports := make(chan error)
	w = NewWriter(atomicfile.Disk{}, onDisk, func(err error) { reports <- err })
	w.Save(newSnapshot(1))
	require.ErrorIs(t, <-reports, fs.ErrNotExist)
	_ = os.Mkdir(onDisk.Dir, 0o755)
	w.Save(newSnapshot(2))
	require.NoError(t, <-reports, "the first save after the directory exists must be reported")
	w.Save(newSnapshot(3))
	w.Close()
	requireGeneration(3)
}

// TestLoadAfterClockStep: the wall clock is stepped between two runs on one machine by more than the maximum age of a
// snapshot. The snapshot must be loaded with times of the new clock, so that a server that started ten seconds before
// it was taken still counts as recently started. After a reboot the step is unknown, and the snapshot is too old.
func TestLoadAfterClockStep(t *testing.T) {
	const second, step = int64(1e9), int64(7200e9)
	disk := memfs.New()
	earlier, later := testPlace, testPlace
	earlier.Clock = machineclock.Origin{BootID: "boot", At: 5e17}
	later.Clock = machineclock.Origin{BootID: "boot", At: 5e17 + step}
	saved := newSnapshot(7)
	saved.Servers[0].StartedAt = saved.TakenAt - 10*second
	require.NoError(t, earlier.Save(disk, saved))
	loaded, err := later.Load(disk, saved.TakenAt+step+second)
	require.NoError(t, err)
	require.Equal(t, saved.TakenAt+step, loaded.TakenAt)
	require.Equal(t, loaded.TakenAt-10*second, loaded.Servers[0].StartedAt)
	require.Zero(t, loaded.Servers[1].StartedAt, "a start long ago must remain 0")

	later.Clock.BootID = "another"
	_, err = later.Load(disk, saved.TakenAt+step+second)
	var stale *StaleError
	require.ErrorAs(t, err, &stale)
}

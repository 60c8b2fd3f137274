package atomicfile

import (
	"errors"
	"io/fs"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"ospreycroft/internal/lab/memfs"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var testFormat = Format{Name: "test-file", Version: 3}

func TestUnframeInvertsFrame(t *testing.T) {
	body, err := testFormat.Unframe(testFormat.Frame([]byte("a body\nof two lines")))
	require.NoError(t, err)
	require.Equal(t, "a body\nof two lines", string(body))
}

func TestUnframeRejectsInvalidFiles(t *testing.T) {
	framed := string(testFormat.Frame([]byte("body")))
	isVersionError := func(err error) bool {
		var version *VersionError
		return errors.As(err, &version) && version.Version == 4 && version.Error() != ""
	}
	for _, c := range []struct {
		name, text string
		matches    func(error) bool
	}{
		{"empty file", "", func(err error) bool { return errors.Is(err, ErrTruncated) }},
		{"truncated file", framed[:len(framed)-1], func(err error) bool { return errors.Is(err, ErrTruncated) }},
		{"one extra byte", framed + "x", func(err error) bool { return errors.Is(err, ErrChecksum) }},
		{"changed byte", framed[:len(framed)-1] + "Y", func(err error) bool { return errors.Is(err, ErrChecksum) }},
		{"unknown version", string(Format{Name: "test-file", Version: 4}.Frame([]byte("body"))), isVersionError},
		{"no first line of this format", "what\n", func(err error) bool { return err != nil }},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := testFormat.Unframe([]byte(c.text))
			require.True(t, c.matches(err), "%v", err)
		})
	}
}

func TestFailedWriteKeepsOldFile(t *testing.T) {
	for _, step := range []string{"write", "rename"} {
		t.Run(step, func(t *testing.T) {
			disk := memfs.New()
			require.NoError(t, Write(disk, "/d/file", []byte("old")))
			disk.FailingOperation = step
			require.Error(t, Write(disk, "/d/file", []byte("new")))
			require.Equal(t, map[string][]byte{"/d/file": []byte("old")}, disk.Files)
		})
	}
}

func TestDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	require.NoError(t, Write(Disk{}, path, []byte("text")))
	text, err := Disk{}.Read(path)
	require.NoError(t, err)
	require.Equal(t, "text", string(text))
	_, err = Disk{}.Read(path + ".none")
	require.ErrorIs(t, err, fs.ErrNotExist)
	require.Error(t, Write(Disk{}, filepath.Join(path, "below"), nil))
	require.Error(t, Disk{}.Sync(path+".none"))
}

// TestWriterRetriesFailedSave guards against a value that is lost because the disk was full when it was saved. The save
// fails twice and must be retried without another call of Save; report is called once for the failures and once for the
// recovery.
func TestWriterRetriesFailedSave(t *testing.T) {
	var mutex sync.Mutex
	attempts := 0
	var reports []error
	saved := make(chan int, 1)
	writer := NewWriter(func(value *int) error {
		mutex.Lock()
		defer mutex.Unlock()
		attempts++
		if attempts <= 2 {
			return syscall.ENOSPC
		}
		saved <- *value
		return nil
	}, func(err error) { reports = append(reports, err) })
	one := 1
	writer.Save(&one)
	select {
	case value := <-saved:
		require.Equal(t, 1, value)
	case <-time.After(5 * time.Second):
		t.Fatal("the value was not saved within 5 s")
	}
	writer.Close()
	require.Equal(t, []error{syscall.ENOSPC, nil}, reports)
}

func TestWriterSavesOnlyLatestPendingValue(t *testing.T) {
	release := make(chan struct{})
	var saved []int
	writer := NewWriter(func(value *int) error {
		saved = append(saved, *value)
		<-release
		return nil
	}, func(err error) { t.Error(err) })
	one, two, three := 1, 2, 3
	writer.Save(&one)
	release <- struct{}{} // the save of the first value has begun
	writer.Save(&two)
	writer.Save(&three)
	close(release)
	writer.Close()
	require.Equal(t, 3, saved[len(saved)-1])
	require.LessOrEqual(t, len(saved), 3)
}

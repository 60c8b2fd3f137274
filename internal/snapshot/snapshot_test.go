package snapshot

import (
	"errors"
	"io/fs"
	"os"
	"reflect"
	"strings"
	"syscall"
	"testing"
)

// disk is one in memory; only what is synced is on it, and each step may fail.
type disk struct {
	held map[string][]byte
	log  []string
	fail string // the step that fails,
	keep int    // where that is a write, after so many bytes
	gate chan bool
}

func (d *disk) step(what, path string) error {
	if d.log = append(d.log, what); what == d.fail {
		return &fs.PathError{Op: what, Path: path, Err: syscall.ENOSPC}
	}
	return nil
}

func (d *disk) Read(path string) ([]byte, error) {
	if err := d.step("read", path); err != nil {
		return nil, err
	}
	text, is := d.held[path]
	if !is {
		return nil, fs.ErrNotExist
	}
	return text, nil
}

func (d *disk) Write(path string, text []byte) error {
	if d.gate != nil {
		<-d.gate
	}
	err := d.step("write", path)
	if err != nil {
		text = text[:d.keep]
	}
	d.held[path] = append([]byte(nil), text...)
	return err
}

func (d *disk) Rename(from, to string) error {
	if err := d.step("rename", to); err != nil {
		return err
	}
	d.held[to] = d.held[from]
	delete(d.held, from)
	return nil
}

func (d *disk) Remove(path string) error { delete(d.held, path); return d.step("remove", path) }
func (d *disk) Sync(dir string) error    { return d.step("sync", dir) }

var place = Place{Dir: "/d", Installation: "east", Limiter: "n/1", Oldest: 3600e9}

func list(generation int64) *Snapshot {
	return &Snapshot{Taken: 1e18, Discovery: "127.0.0.1:1", Generation: generation, Servers: []Server{{ID: "s", Address: "127.0.0.1:2",
		Zone: "a", Cell: 3, Weight: 1.5, WarmFrom: 1e18 - 5}, {ID: "t", Address: "127.0.0.1:3", Draining: true}}}
}

func TestFile(t *testing.T) {
	d := &disk{held: map[string][]byte{}}
	if s, err := place.Load(d, 1e18); s != nil || err != nil {
		t.Fatalf("with no file: %v, %v", s, err)
	}
	if err := place.Save(d, list(7)); err != nil || strings.Join(d.log, " ") != "read write rename sync" || len(d.held) != 1 {
		t.Fatalf("%v, %v, %v", err, d.log, d.held)
	}
	whole := string(d.held[place.Path()])
	refused := func(now int64, p Place, text string, want error) {
		t.Helper()
		if text != "" {
			d.held[place.Path()] = []byte(text)
		}
		s, err := p.Load(d, now)
		if s != nil || reflect.TypeOf(err) != reflect.TypeOf(want) || err.(interface{ Remedy() string }).Remedy() == "" || err.Error() == "" {
			t.Fatalf("%q: %v, %T (%v), want %T", text, s, err, err, want)
		}
	}
	if s, err := place.Load(d, 1e18+3600e9); err != nil || s.Generation != 7 || !reflect.DeepEqual(s.Servers, list(7).Servers) {
		t.Fatalf("%+v, %v", s, err)
	}
	for i := range len(whole) {
		d.held[place.Path()] = []byte{}
		refused(1e18, place, whole[:i], &CutShort{})
		for bit := range 8 {
			flipped := []byte(whole)
			flipped[i] ^= 1 << bit
			d.held[place.Path()] = flipped
			if s, err := place.Load(d, 1e18); s != nil || err == nil {
				t.Fatalf("taken with bit %d of byte %d flipped: %q", bit, i, flipped)
			}
		}
	}
	refused(1e18, place, whole+" ", &Spoilt{})
	refused(1e18, place, strings.Replace(whole, "1.5", "2.5", 1), &Spoilt{})
	refused(1e18, place, strings.Replace(whole, "snapshot 1", "snapshot 2", 1), &Other{})
	refused(1e18+3600e9+1, place, whole, &Old{})
	refused(1e18-3600e9-1, place, whole, &Old{})
	refused(1e18, Place{"/d", "west", "n/1", 3600e9}, whole, &Foreign{})
	other := Place{"/d", "east", "n/2", 3600e9}
	d.held[other.Path()] = []byte(whole)
	refused(1e18, other, "", &Foreign{})
	d.fail = "read"
	refused(1e18, place, whole, &Unreadable{})
	// A disk that is full, or fails at any other step, leaves the list before it or the new one, whole.
	for _, d.fail = range []string{"write", "rename", "sync"} {
		for _, d.keep = range []int{0, 10, 200} {
			d.held = map[string][]byte{place.Path(): []byte(whole)}
			err := place.Save(d, list(8))
			var unwritten *Unwritten
			if !errors.As(err, &unwritten) || !errors.Is(err, syscall.ENOSPC) || len(d.held) != 1 {
				t.Fatalf("%s: %v, %v", d.fail, err, d.held)
			}
			if s, err := place.Load(d, 1e18); err != nil || s.Generation != 7 && d.fail != "sync" {
				t.Fatalf("%s: %+v, %v", d.fail, s, err)
			}
		}
	}
}

func TestWriter(t *testing.T) {
	slow := &disk{held: map[string][]byte{}, gate: make(chan bool)}
	last := NewWriter(slow, place, func(err error) { t.Error(err) })
	last.Save(list(1))
	slow.gate <- true // the first is being written, and the second waits for it
	last.Save(list(2))
	go func() { slow.gate <- true }()
	if last.Close(); !strings.Contains(string(slow.held["/d/n%2F1.snapshot"]), `"generation":2`) {
		t.Fatal("the last one is lost")
	}
	here := place
	here.Dir = t.TempDir()
	w := NewWriter(Disk{}, here, func(err error) { t.Error(err) })
	for i := range 50 {
		w.Save(list(int64(i)))
	}
	w.Close()
	if s, err := here.Load(Disk{}, 1e18); err != nil || s.Generation != 49 {
		t.Fatalf("%+v, %v", s, err)
	}
	if files, _ := os.ReadDir(here.Dir); len(files) != 1 {
		t.Fatal(files)
	}
	here.Dir += "/none"
	reports := make(chan error)
	w = NewWriter(Disk{}, here, func(err error) { reports <- err })
	w.Save(list(1))
	if err := <-reports; !errors.Is(err, fs.ErrNotExist) {
		t.Fatal(err)
	}
	_ = os.Mkdir(here.Dir, 0o755)
	w.Save(list(2))
	if err := <-reports; err != nil {
		t.Fatal(err, "where there is room again")
	}
	w.Save(list(3))
	w.Close()
	if s, err := here.Load(Disk{}, 1e18); err != nil || s.Generation != 3 {
		t.Fatalf("%+v, %v", s, err)
	}
}

package store_test

import (
	"errors"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"

	. "github.com/onsi/gomega"

	"turmericroute/store"
)

var errEnded = errors.New("the process has ended")

// folderID is the ID of each subfolder on a disk.
const folderID = 1

// disk keeps what of a data folder has been synced, and makes the folder that a loss of power may leave.
type disk struct {
	mu    sync.Mutex
	rng   *rand.Rand
	path  string            // of the data folder
	links string            // folder with a link to each file, by its ID, so that no ID is used again
	saved map[uint64][]byte // content at the last sync, by the ID of the file
	names map[string]uint64 // durable names, relative to the data folder

	refuse    int  // writes that are refused for want of space
	syncsLeft int  // until the process ends; negative for never
	powerLost bool // whether that end is a loss of power
	ended     bool
}

func newDisk(dir string, rng *rand.Rand) *disk {
	d := &disk{
		rng: rng, path: filepath.Join(dir, "data"), links: filepath.Join(dir, "links"), syncsLeft: -1,
		saved: map[uint64][]byte{}, names: map[string]uint64{},
	}
	Expect(os.Mkdir(d.links, 0o700)).To(Succeed())
	return d
}

func (d *disk) open() (*store.Store, store.Recovered, error) {
	return store.Open(store.Config{Dir: d.path, SegmentBytes: 512, Sync: d.sync, Write: d.write})
}

// endAfter ends the process during a later sync.
func (d *disk) endAfter(syncs int, powerLost bool) {
	d.syncsLeft, d.powerLost = syncs, powerLost
}

// restart allows a new process.
func (d *disk) restart() {
	d.syncsLeft, d.ended = -1, false
}

// write is Config.Write.
func (d *disk) write(f *os.File, b []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended {
		return 0, errEnded
	}
	if d.refuse > 0 {
		d.refuse--
		n, err := f.Write(b[:d.rng.IntN(len(b))])
		return n, errors.Join(err, syscall.ENOSPC)
	}
	return f.Write(b)
}

// sync is Config.Sync. The sync during which the process ends has no effect.
func (d *disk) sync(f *os.File) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended {
		return errEnded
	}
	if d.syncsLeft == 0 {
		d.end()
		return errEnded
	}
	d.syncsLeft--
	name, err := filepath.Rel(d.path, f.Name())
	if err != nil || !filepath.IsLocal(name) {
		return err
	}
	now := d.list()
	if id := now[name]; id > folderID {
		d.saved[id], d.names[name] = d.content(id), id
		return nil
	}
	inFolder := func(n string) bool { return n != name && filepath.Dir(n) == name }
	for n := range d.names {
		if inFolder(n) {
			delete(d.names, n)
		}
	}
	for n, id := range now {
		if inFolder(n) {
			d.names[n] = id
		}
	}
	return nil
}

// list returns the IDs of all files and subfolders by their names.
func (d *disk) list() map[string]uint64 {
	all := map[string]uint64{}
	if _, err := os.Stat(d.path); errors.Is(err, fs.ErrNotExist) {
		return all // the first start has not created it yet
	}
	Expect(filepath.WalkDir(d.path, func(path string, e os.DirEntry, err error) error {
		if err != nil || path == d.path {
			return err
		}
		name, err := filepath.Rel(d.path, path)
		if err != nil {
			return err
		}
		all[name] = folderID
		if e.IsDir() {
			return nil
		}
		info, err := e.Info()
		if err != nil {
			return err
		}
		id := info.Sys().(*syscall.Stat_t).Ino
		all[name] = id
		if _, err := os.Stat(d.link(id)); err == nil {
			return nil
		}
		return os.Link(path, d.link(id))
	})).To(Succeed())
	return all
}

func (d *disk) link(id uint64) string { return filepath.Join(d.links, strconv.FormatUint(id, 10)) }

func (d *disk) content(id uint64) []byte {
	b, err := os.ReadFile(d.link(id))
	Expect(err).NotTo(HaveOccurred())
	return b
}

// end ends the process. If power is lost, the data folder is replaced by what the disk may hold then.
func (d *disk) end() {
	d.ended = true
	if !d.powerLost {
		return
	}
	left := d.afterPowerLoss()
	d.path += "+"
	Expect(os.Mkdir(d.path, 0o700)).To(Succeed())
	for name, id := range left {
		path := filepath.Join(d.path, name)
		if id == folderID {
			Expect(os.MkdirAll(path, 0o700)).To(Succeed())
			continue
		}
		Expect(os.MkdirAll(filepath.Dir(path), 0o700)).To(Succeed())
		Expect(os.WriteFile(path, d.torn(d.saved[id], d.content(id)), 0o600)).To(Succeed())
	}
	d.settle()
}

// settle makes the folder durable as it is.
func (d *disk) settle() {
	d.names = d.list()
	for _, id := range d.names {
		if id != folderID {
			d.saved[id] = d.content(id)
		}
	}
}

// afterPowerLoss draws for each name by itself whether its change since the last sync of the folder remains.
func (d *disk) afterPowerLoss() map[string]uint64 {
	now, left := d.list(), map[string]uint64{}
	for name, id := range now {
		if id == d.names[name] || d.rng.IntN(2) == 0 {
			left[name] = id
		}
	}
	for name, id := range d.names {
		if _, ok := left[name]; !ok && id != now[name] && d.rng.IntN(2) == 0 {
			left[name] = id
		}
	}
	for name := range left {
		if folder := filepath.Dir(name); folder != "." && left[folder] == 0 {
			delete(left, name)
		}
	}
	return left
}

// torn draws how much of what has changed since the last sync remains.
func (d *disk) torn(saved, latest []byte) []byte {
	same := 0
	for same < min(len(saved), len(latest)) && saved[same] == latest[same] {
		same++
	}
	n := same
	switch d.rng.IntN(3) {
	case 0:
		return saved
	case 1:
		n = len(latest)
	case 2:
		n += d.rng.IntN(len(latest) - same + 1)
	}
	b := append([]byte{}, latest[:n]...)
	if d.rng.IntN(2) == 0 && n < len(saved) {
		b = append(b, saved[n:]...)
	}
	return b
}

package auth

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// checkInterval is how often files are looked at for a change while they are in use.
const checkInterval = time.Second

// Watch says how files are followed; the zero value is good.
type Watch struct {
	// OnError is told of each failed reload; the last good content stays in use.
	OnError func(error)
	// Now returns the time; nil means time.Now.
	Now func() time.Time
}

// reloader is a value loaded from files and loaded again when one of them
// changes. While the new files are faulty the last good value stays in use.
type reloader[T any] struct {
	files []string
	load  func() (T, error)
	Watch

	mu          sync.Mutex
	value       T
	fingerprint string
	checkedAt   time.Time
}

func newReloader[T any](files []string, load func() (T, error), how Watch) (*reloader[T], error) {
	w := &reloader[T]{files: files, load: load, Watch: how}
	if w.OnError == nil {
		w.OnError = func(error) {}
	}
	if w.Now == nil {
		w.Now = time.Now
	}
	// The stamp is taken first, so a change during the load is seen by the next check.
	w.fingerprint, w.checkedAt = fileFingerprint(files), w.Now()
	v, err := load()
	if err != nil {
		return nil, err
	}
	w.value = v
	return w, nil
}

// get returns the value, loaded again when a file has changed since the last check.
func (w *reloader[T]) get() T {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Now()
	if now.Sub(w.checkedAt) < checkInterval {
		return w.value
	}
	w.checkedAt = now
	stamp := fileFingerprint(w.files)
	if stamp == w.fingerprint {
		return w.value
	}
	w.fingerprint = stamp
	v, err := w.load()
	if err != nil {
		w.OnError(err)
		return w.value
	}
	w.value = v
	return v
}

// fileFingerprint changes when one of the files is replaced or written.
func fileFingerprint(files []string) string {
	s := ""
	for _, f := range files {
		info, err := os.Stat(f)
		if err != nil {
			s += fmt.Sprintf("%s: %v;", f, err)
			continue
		}
		s += fmt.Sprintf("%s: %d %d;", f, info.Size(), info.ModTime().UnixNano())
	}
	return s
}

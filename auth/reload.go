package auth

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// checkInterval is the minimum time between checks of the files for changes.
const checkInterval = time.Second

// ReloadOptions configures how files are reloaded when they change; the zero value is usable.
type ReloadOptions struct {
	// OnError is called with the error of each failed reload; the last valid content stays in use.
	OnError func(error)
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// reloader holds a value that is loaded from files and reloaded when one of them
// changes. When a reload fails, the last valid value stays in use.
type reloader[T any] struct {
	files []string
	load  func() (T, error)
	ReloadOptions

	mu          sync.Mutex
	value       T
	fingerprint string
	checkedAt   time.Time
}

func newReloader[T any](files []string, load func() (T, error), opts ReloadOptions) (*reloader[T], error) {
	r := &reloader[T]{files: files, load: load, ReloadOptions: opts}
	if r.OnError == nil {
		r.OnError = func(error) {}
	}
	if r.Now == nil {
		r.Now = time.Now
	}
	// The fingerprint is taken first, so the next check notices a change during the load.
	r.fingerprint, r.checkedAt = fileFingerprint(files), r.Now()
	value, err := load()
	if err != nil {
		return nil, err
	}
	r.value = value
	return r, nil
}

// get returns the value and reloads it first when a file has changed since the last check. It checks
// at most once per checkInterval.
func (r *reloader[T]) get() T {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	if now.Sub(r.checkedAt) < checkInterval {
		return r.value
	}
	r.checkedAt = now
	fingerprint := fileFingerprint(r.files)
	if fingerprint == r.fingerprint {
		return r.value
	}
	r.fingerprint = fingerprint
	value, err := r.load()
	if err != nil {
		r.OnError(err)
		return r.value
	}
	r.value = value
	return value
}

// fileFingerprint returns a text of the sizes and modification times of the files, which changes when
// one of them is replaced or written.
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

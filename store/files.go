package store

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
)

const (
	lockName       = "LOCK"
	identityName   = "identity"
	membershipName = "membership"
	damagedName    = "damaged"
	tempSuffix     = ".tmp"

	magicBytes      = 8
	identityMagic   = "TRIDN001"
	membershipMagic = "TRMEM001"
	snapshotMagic   = "TRSNP001"

	// identityBytes is the number of random bytes in an ID, so that the IDs of two disks differ.
	identityBytes = 8

	folderMode = 0o750
	fileMode   = 0o640
)

// folder provides durable changes of the files in the data folder.
type folder struct {
	path string
	// syncFile and write are Config.Sync and Config.Write.
	syncFile func(*os.File) error
	write    func(*os.File, []byte) (int, error)
}

// syncError is the error of a sync, after which the content of the file is unknown.
type syncError struct{ err error }

// Error returns the cause.
func (e *syncError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *syncError) Unwrap() error { return e.err }

// sync syncs a file or folder to disk.
func (d folder) sync(f *os.File) error {
	if err := d.syncFile(f); err != nil {
		return &syncError{err}
	}
	return nil
}

func (d folder) filePath(name string) string { return filepath.Join(d.path, name) }

func (d folder) syncFolder(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("open folder: %w", err)
	}
	defer f.Close()
	if err := d.sync(f); err != nil {
		return fmt.Errorf("sync folder: %w", err)
	}
	return nil
}

// create creates the data folder if it does not exist. A folder's name is synced
// before anything is created in it, also where another process has created the folder:
// instances on one machine may share its parents and start at the same time. Nothing is
// synced if this disk has an identity.
func (d folder) create() error {
	if _, err := os.Stat(d.filePath(identityName)); err == nil {
		return nil
	}
	existing := d.path
	var missing []string // innermost first
	for ; existing != filepath.Dir(existing); existing = filepath.Dir(existing) {
		if _, err := os.Stat(existing); err == nil {
			break
		}
		missing = append(missing, existing)
	}
	// Without permission to read the parent this process cannot have created the folder.
	if err := d.syncFolder(filepath.Dir(existing)); err != nil && !errors.Is(err, fs.ErrPermission) {
		return err
	}
	for _, path := range slices.Backward(missing) {
		if err := os.Mkdir(path, folderMode); err != nil && !errors.Is(err, fs.ErrExist) {
			return fmt.Errorf("create data folder: %w", err)
		}
		if err := d.syncFolder(filepath.Dir(path)); err != nil {
			return err
		}
	}
	return nil
}

// lock locks the data folder and returns the lock file; closing the file releases the lock.
func (d folder) lock() (*os.File, error) {
	f, err := os.OpenFile(d.filePath(lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, fmt.Errorf("open lock file: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("data folder %s is in use by another process: %w", d.path, err)
	}
	return f, nil
}

// writeFile atomically creates or replaces a file and syncs it.
func (d folder) writeFile(name string, parts ...[]byte) error {
	f, err := os.OpenFile(d.filePath(name+tempSuffix), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return fmt.Errorf("create %s: %w", name, err)
	}
	defer f.Close()
	for _, p := range parts {
		if _, err := d.write(f, p); err != nil {
			// The space is needed, and there may be none for a while.
			return fmt.Errorf("write %s: %w", name, errors.Join(err, os.Remove(f.Name())))
		}
	}
	if err := d.sync(f); err != nil {
		return fmt.Errorf("sync %s: %w", name, err)
	}
	if err := os.Rename(f.Name(), d.filePath(name)); err != nil {
		return fmt.Errorf("rename temporary file of %s: %w", name, err)
	}
	return d.syncFolder(d.path)
}

// writeChecksummed is like writeFile; it precedes the content with a magic number and a checksum.
func (d folder) writeChecksummed(name, magic string, parts ...[]byte) error {
	var sum uint32
	for _, p := range parts {
		sum = crc32.Update(sum, castagnoli, p)
	}
	head := binary.LittleEndian.AppendUint32([]byte(magic), sum)
	return d.writeFile(name, append([][]byte{head}, parts...)...)
}

// readChecksummed returns the content of a checksummed file after verifying it, nil when there is no such file.
func (d folder) readChecksummed(name, magic string) ([]byte, error) {
	b, err := os.ReadFile(d.filePath(name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", name, err)
	}
	b, err = decodeChecksummed(b, magic)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return b, nil
}

// decodeChecksummed verifies the magic number and the checksum of b and returns the content.
func decodeChecksummed(b []byte, magic string) ([]byte, error) {
	const head = magicBytes + 4
	if len(b) < head || string(b[:magicBytes]) != magic {
		return nil, &DamageError{Message: "wrong magic number"}
	}
	if crc32.Checksum(b[head:], castagnoli) != binary.LittleEndian.Uint32(b[magicBytes:]) {
		return nil, &DamageError{Message: "wrong checksum"}
	}
	return b[head:], nil
}

// names returns the sorted names of the files in the folder that have the given prefix and suffix.
func (d folder) names(prefix, suffix string) ([]string, error) {
	list, err := os.ReadDir(d.path)
	if err != nil {
		return nil, fmt.Errorf("list data folder: %w", err)
	}
	var names []string
	for _, e := range list {
		if n := e.Name(); !e.IsDir() && strings.HasPrefix(n, prefix) && strings.HasSuffix(n, suffix) {
			names = append(names, n)
		}
	}
	return names, nil
}

func (d folder) removeTempFiles() error {
	names, err := d.names("", tempSuffix)
	if err != nil {
		return err
	}
	for _, n := range names {
		if err := os.Remove(d.filePath(n)); err != nil {
			return fmt.Errorf("remove unfinished file: %w", err)
		}
	}
	return nil
}

// quarantine moves all files but the lock to the quarantine folder. The identity is
// moved first: files without one are never read again, but moved by the next start.
func (d folder) quarantine() error {
	names, err := d.names("", "")
	if err != nil {
		return err
	}
	quarantineDir := d.filePath(damagedName)
	if slices.Contains(names, identityName) {
		if err := os.RemoveAll(quarantineDir); err != nil {
			return fmt.Errorf("remove previously quarantined files: %w", err)
		}
	}
	if err := os.MkdirAll(quarantineDir, folderMode); err != nil {
		return fmt.Errorf("create quarantine folder: %w", err)
	}
	// A folder that has lost its identity must not seem to be a new one.
	if err := d.syncFolder(d.path); err != nil {
		return err
	}
	isIdentity := func(name string) bool { return name == identityName }
	if err := d.moveFiles(names, quarantineDir, isIdentity); err != nil {
		return err
	}
	return d.moveFiles(names, quarantineDir, func(name string) bool { return !isIdentity(name) && name != lockName })
}

// moveFiles moves the chosen files to another folder and syncs both.
func (d folder) moveFiles(names []string, to string, chosen func(name string) bool) error {
	for _, n := range names {
		if !chosen(n) {
			continue
		}
		if err := os.Rename(d.filePath(n), filepath.Join(to, n)); err != nil {
			return fmt.Errorf("move %s: %w", n, err)
		}
	}
	return errors.Join(d.syncFolder(to), d.syncFolder(d.path))
}

func (d folder) hasQuarantine() (bool, error) {
	_, err := os.Stat(d.filePath(damagedName))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return false, fmt.Errorf("check for quarantined files: %w", err)
	}
	return err == nil, nil
}

// NewID returns a random identity for a disk.
func NewID() (string, error) {
	random := make([]byte, identityBytes)
	if _, err := rand.Read(random); err != nil {
		return "", fmt.Errorf("generate identity: %w", err)
	}
	return hex.EncodeToString(random), nil
}

// identity returns the ID of the data folder. If there is none, existing files are
// quarantined, since their owner is unknown, and the folder gets the given ID, or a
// random one if that is empty.
func (d folder) identity(id string) (string, error) {
	b, err := d.readChecksummed(identityName, identityMagic)
	if err != nil || b != nil {
		return string(b), err
	}
	remaining, err := d.names("", "")
	if err != nil {
		return "", err
	}
	if len(remaining) > 1 {
		if err := d.quarantine(); err != nil {
			return "", err
		}
	}
	if id == "" {
		if id, err = NewID(); err != nil {
			return "", err
		}
	}
	return id, d.writeChecksummed(identityName, identityMagic, []byte(id))
}

package ctrl

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// maxStateBytes bounds the size of an unpacked snapshot.
const maxStateBytes = 1 << 30

// packSnapshot compresses an encoded state for storage and transfer.
func packSnapshot(data []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("pack snapshot: %w", err)
	}
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("pack snapshot: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("pack snapshot: %w", err)
	}
	return b.Bytes(), nil
}

// UnpackSnapshot returns the encoded state from the Data of a quorum.Snapshot.
func UnpackSnapshot(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("unpack snapshot: %w", err)
	}
	out, err := io.ReadAll(io.LimitReader(r, maxStateBytes+1))
	if err != nil {
		return nil, fmt.Errorf("unpack snapshot: %w", err)
	}
	if len(out) > maxStateBytes {
		return nil, fmt.Errorf("unpack snapshot: more than %d bytes", maxStateBytes)
	}
	return out, nil
}

package entry

import (
	"bytes"
	"strconv"
	"strings"
)

// frameState is the part of a response that a framer expects next.
type frameState int

const (
	frameIdle       frameState = iota // no response is expected
	frameHeader                       // status line and header fields
	frameBody                         // body of declared length
	frameChunkSize                    // line with the size of a chunk
	frameChunkData                    // data of a chunk
	frameChunkEnd                     // line end after a chunk
	frameTrailer                      // trailer fields
	frameUnknownEnd                   // the response is malformed or ends when the connection closes
)

// maxFrameLineBytes bounds the lines that a framer buffers; the HTTP client rejects longer ones.
const maxFrameLineBytes = 64 << 10

// framer finds the end of each HTTP/1.1 response in the bytes read from a connection. Go's transport
// returns a connection to its pool before it checks for bytes after the response, and can take them
// for the response to the next request. The framer parses valid responses only; for others the
// state is frameUnknownEnd and the connection is not used again.
type framer struct {
	state          frameState
	headRequest    bool // the request was HEAD
	line           []byte
	statusLineNext bool // the next line is the status line
	status         int
	length         int64 // declared length, -1 for none
	chunked        bool
	remaining      int64 // bytes left of the body or chunk
}

// expectResponse prepares for the response to a request. It returns false when the previous response
// has not ended.
func (f *framer) expectResponse(method string) bool {
	if f.state != frameIdle {
		return false
	}
	f.headRequest = method == "HEAD"
	f.startHeader()
	return true
}

func (f *framer) startHeader() {
	f.state, f.statusLineNext, f.length, f.chunked, f.line = frameHeader, true, -1, false, f.line[:0]
}

// feed parses b and returns how many of its bytes belong to the expected response.
func (f *framer) feed(b []byte) int {
	n := 0
	for n < len(b) {
		switch f.state {
		case frameIdle:
			return n
		case frameUnknownEnd:
			return len(b)
		case frameBody, frameChunkData:
			n += f.skipBody(len(b) - n)
		default:
			n += f.readLine(b[n:])
		}
	}
	return n
}

// skipBody skips up to n bytes of a body or chunk and returns how many it skipped.
func (f *framer) skipBody(n int) int {
	if int64(n) > f.remaining {
		n = int(f.remaining)
	}
	f.remaining -= int64(n)
	if f.remaining == 0 {
		if f.state == frameBody {
			f.state = frameIdle
		} else {
			f.state = frameChunkEnd
		}
	}
	return n
}

// readLine consumes bytes up to the end of the line and handles the line once it is complete.
func (f *framer) readLine(b []byte) int {
	i := bytes.IndexByte(b, '\n')
	if i < 0 {
		if f.line = append(f.line, b...); len(f.line) > maxFrameLineBytes {
			f.state = frameUnknownEnd
		}
		return len(b)
	}
	line := b[:i]
	if len(f.line) > 0 {
		line = append(f.line, line...)
		f.line = line[:0]
	}
	f.handleLine(bytes.TrimSuffix(line, []byte("\r")))
	return i + 1
}

func (f *framer) handleLine(line []byte) {
	switch f.state {
	case frameHeader:
		f.parseHeaderLine(line)
	case frameChunkSize:
		f.parseChunkSize(line)
	case frameChunkEnd:
		f.state = frameChunkSize
		if len(line) != 0 {
			f.state = frameUnknownEnd
		}
	case frameTrailer:
		if len(line) == 0 {
			f.state = frameIdle
		}
	}
}

func (f *framer) parseHeaderLine(line []byte) {
	switch {
	case f.statusLineNext:
		f.statusLineNext = false
		f.parseStatusLine(line)
	case len(line) == 0:
		f.finishHeader()
	default:
		f.parseHeaderField(line)
	}
}

func (f *framer) parseStatusLine(line []byte) {
	fields := strings.Fields(string(line[:min(len(line), 32)]))
	if len(fields) < 2 || !strings.HasPrefix(fields[0], "HTTP/1.") {
		f.state = frameUnknownEnd
		return
	}
	var err error
	if f.status, err = strconv.Atoi(fields[1]); err != nil || f.status < 100 {
		f.state = frameUnknownEnd
	}
}

// parseHeaderField reads the framing of the body from a header field. Repeated or malformed lengths
// make the end of the response unknown.
func (f *framer) parseHeaderField(line []byte) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || line[0] == ' ' || line[0] == '\t' {
		f.state = frameUnknownEnd
		return
	}
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 62)
		if err != nil || f.length >= 0 {
			f.state = frameUnknownEnd
			return
		}
		f.length = int64(n)
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		if f.chunked = bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked")); !f.chunked {
			f.state = frameUnknownEnd
		}
	}
}

func (f *framer) finishHeader() {
	switch {
	case f.status == 101:
		f.state = frameUnknownEnd
	case f.status < 200:
		f.startHeader()
	case f.headRequest || f.status == 204 || f.status == 304:
		f.state = frameIdle
	case f.chunked:
		f.state = frameChunkSize
	case f.length > 0:
		f.state, f.remaining = frameBody, f.length
	case f.length == 0:
		f.state = frameIdle
	default:
		f.state = frameUnknownEnd
	}
}

func (f *framer) parseChunkSize(line []byte) {
	size, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, 62)
	switch {
	case err != nil:
		f.state = frameUnknownEnd
	case n == 0:
		f.state = frameTrailer
	default:
		f.state, f.remaining = frameChunkData, int64(n)
	}
}

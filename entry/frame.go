package entry

import (
	"bytes"
	"strconv"
	"strings"
)

// frameState is where in an answer a framer is.
type frameState int

const (
	frameIdle   frameState = iota // no answer is expected
	frameHeader                   // status line and header
	frameBody                     // declared bytes
	frameSize                     // line with the size of a chunk
	frameChunk                    // bytes of a chunk
	frameEnd                      // line end after a chunk
	frameTrail                    // trailer
	frameOpen                     // ends with the connection, or is malformed
)

// maxFrameLine bounds the lines that a framer keeps; longer ones are left to the HTTP client to refuse.
const maxFrameLine = 64 << 10

// framer finds the end of each HTTP/1.1 answer in the bytes of a connection. Go's transport puts a
// connection back into use before it looks for bytes beyond the answer, and can take them for the
// answer to the next request. The framer follows valid answers only; for others the
// state is frameOpen and the connection is not used again.
type framer struct {
	state   frameState
	head    bool // the request was HEAD
	line    []byte
	first   bool // the next line is the status line
	status  int
	length  int64 // declared length, -1 for none
	chunked bool
	left    int64
}

// begin expects the answer to a request; false when the last answer has not ended.
func (f *framer) begin(method string) bool {
	if f.state != frameIdle {
		return false
	}
	f.head = method == "HEAD"
	f.startHeader()
	return true
}

func (f *framer) startHeader() {
	f.state, f.first, f.length, f.chunked, f.line = frameHeader, true, -1, false, f.line[:0]
}

// feed follows b and returns how many of its bytes belong to the expected answer.
func (f *framer) feed(b []byte) int {
	n := 0
	for n < len(b) {
		switch f.state {
		case frameIdle:
			return n
		case frameOpen:
			return len(b)
		case frameBody, frameChunk:
			n += f.skip(len(b) - n)
		default:
			n += f.readLine(b[n:])
		}
	}
	return n
}

// skip passes over bytes of the body.
func (f *framer) skip(n int) int {
	if int64(n) > f.left {
		n = int(f.left)
	}
	f.left -= int64(n)
	if f.left == 0 {
		if f.state == frameBody {
			f.state = frameIdle
		} else {
			f.state = frameEnd
		}
	}
	return n
}

// readLine takes bytes up to the end of the line and handles the line once it is complete.
func (f *framer) readLine(b []byte) int {
	i := bytes.IndexByte(b, '\n')
	if i < 0 {
		if f.line = append(f.line, b...); len(f.line) > maxFrameLine {
			f.state = frameOpen
		}
		return len(b)
	}
	line := b[:i]
	if len(f.line) > 0 {
		line = append(f.line, line...)
		f.line = line[:0]
	}
	f.handle(bytes.TrimSuffix(line, []byte("\r")))
	return i + 1
}

func (f *framer) handle(line []byte) {
	switch f.state {
	case frameHeader:
		f.headerLine(line)
	case frameSize:
		f.sizeLine(line)
	case frameEnd:
		f.state = frameSize
		if len(line) != 0 {
			f.state = frameOpen
		}
	case frameTrail:
		if len(line) == 0 {
			f.state = frameIdle
		}
	}
}

func (f *framer) headerLine(line []byte) {
	switch {
	case f.first:
		f.first = false
		f.statusLine(line)
	case len(line) == 0:
		f.headerEnd()
	default:
		f.field(line)
	}
}

func (f *framer) statusLine(line []byte) {
	fields := strings.Fields(string(line[:min(len(line), 32)]))
	if len(fields) < 2 || !strings.HasPrefix(fields[0], "HTTP/1.") {
		f.state = frameOpen
		return
	}
	var err error
	if f.status, err = strconv.Atoi(fields[1]); err != nil || f.status < 100 {
		f.state = frameOpen
	}
}

// field takes the length from a header line; repeated or unclear lengths leave the answer open.
func (f *framer) field(line []byte) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || line[0] == ' ' || line[0] == '\t' {
		f.state = frameOpen
		return
	}
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 62)
		if err != nil || f.length >= 0 {
			f.state = frameOpen
			return
		}
		f.length = int64(n)
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		if f.chunked = bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked")); !f.chunked {
			f.state = frameOpen
		}
	}
}

func (f *framer) headerEnd() {
	switch {
	case f.status == 101:
		f.state = frameOpen
	case f.status < 200:
		f.startHeader()
	case f.head || f.status == 204 || f.status == 304:
		f.state = frameIdle
	case f.chunked:
		f.state = frameSize
	case f.length > 0:
		f.state, f.left = frameBody, f.length
	case f.length == 0:
		f.state = frameIdle
	default:
		f.state = frameOpen
	}
}

func (f *framer) sizeLine(line []byte) {
	size, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, 62)
	switch {
	case err != nil:
		f.state = frameOpen
	case n == 0:
		f.state = frameTrail
	default:
		f.state, f.left = frameChunk, int64(n)
	}
}

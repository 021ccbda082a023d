package entry

// FrameLength feeds a response to a framer in pieces of the given size. It returns how many bytes
// belong to the response and whether the framer found its end.
func FrameLength(method string, b []byte, pieceSize int) (n int, ended bool) {
	var f framer
	f.expectResponse(method)
	for n < len(b) && f.state != frameIdle {
		n += f.feed(b[n:min(n+pieceSize, len(b))])
	}
	return n, f.state == frameIdle
}

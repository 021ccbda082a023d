package entry

// FrameLength feeds an answer in pieces of the given size and returns the bytes that belong to
// it, and whether its end was found.
func FrameLength(method string, b []byte, piece int) (n int, ended bool) {
	var f framer
	f.expectResponse(method)
	for n < len(b) && f.state != frameIdle {
		n += f.feed(b[n:min(n+piece, len(b))])
	}
	return n, f.state == frameIdle
}

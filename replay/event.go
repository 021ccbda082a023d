package replay

// eventKind is the kind of an event.
type eventKind int

const (
	evSubmit eventKind = iota
	evCancel
	evAttemptEnd
	evReleased
	evFaultStart
	evFaultEnd
	evTick
	evSample
	evReport
)

// event is something that happens at a virtual time.
type event struct {
	t          float64 // virtual seconds
	seq        int     // orders events of the same time by their scheduling
	kind       eventKind
	run        *run
	generation int // of the run when the event was scheduled
	fault      fault
}

// eventHeap is a heap of events by time, then by sequence number.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].t == h[j].t {
		return h[i].seq < h[j].seq
	}
	return h[i].t < h[j].t
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

package admit

import (
	"hash/fnv"
	"time"
)

const (
	// electionTime is about the time in which a new leader takes office.
	electionTime = time.Second
	// leaderlessSlots is the number of seconds over which callers return.
	leaderlessSlots = 2
)

// ReturnWithoutLeader returns the time after which a caller who has found no leader should repeat a request. It depends
// on the request, so that not all return at the same time to a leader that has just begun.
func ReturnWithoutLeader(request string) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(request))
	return electionTime + time.Duration(h.Sum32()%leaderlessSlots)*time.Second
}

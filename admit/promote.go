package admit

import (
	"iter"
	"time"
)

// promotionInterval is the least time between two promotions, so that overdue jobs, whose results are of little use,
// take a bounded part of the room from those that still gain.
const promotionInterval = time.Second

// Promotion chooses overdue jobs that go before more urgent ones, one at a time, so that endless urgent work starves
// nobody; the zero value has chosen none.
type Promotion struct {
	id string
	at time.Duration
}

// Next returns the ID of the promoted job among those that wait, empty if there is none. A job stays promoted until it
// no longer waits. The next one is the least urgent overdue job, since it has given way to all others, and of several
// the oldest.
func (p *Promotion) Next(now time.Duration, waiting iter.Seq2[string, Job]) string {
	var id string
	var chosen Job
	for other, j := range waiting {
		if other == p.id {
			return p.id
		}
		if !j.Overdue() || id != "" && (j.Priority < chosen.Priority || j.Priority == chosen.Priority && j.Age < chosen.Age) {
			continue
		}
		id, chosen = other, j
	}
	switch {
	case p.id != "":
		p.id, p.at = "", now // the job has started, or has ended
	case id != "" && now >= p.at+promotionInterval:
		p.id = id
	}
	return p.id
}

package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardineturn/sardineturn/pkg/model"
)

// answerSlots is the number of requests that Answers can remember.
const answerSlots = 8192

// AnyShard is the service under which Answers remembers that at least one shard has
// answered a query that is a suspect.
const AnyShard = "\x00"

// Answers remembers when requests were last answered by upstreams. It has a fixed size
// and forgets requests when others take their places: a request that is sent often is
// nearly always remembered. It does no I/O and reads no clock; its owner serialises access
// to it.
type Answers struct {
	start time.Time
	slots [answerSlots]answerSlot
}

type answerSlot struct {
	key uint64
	// at is the time of the answer, as the time since Answers.start.
	at time.Duration
}

// NewAnswers returns an empty memory. start must not be later than any answer.
func NewAnswers(start time.Time) *Answers { return &Answers{start: start.Add(-1)} }

// Add records that upstreams of the service answered a request with the fingerprint. For a
// query over shards that was answered by all of them, service is empty.
func (a *Answers) Add(now time.Time, f model.Fingerprint, service string) {
	key := answerKey(f, service)
	a.slots[key%answerSlots] = answerSlot{key: key, at: now.Sub(a.start)}
}

// AnsweredSince reports whether an answer is remembered that came after the given time
// and at most Duration ago. An answer to a whole query counts for all services.
func (a *Answers) AnsweredSince(now time.Time, f model.Fingerprint, service string, since time.Time) bool {
	if oldest := now.Add(-Duration); since.Before(oldest) {
		since = oldest
	}
	for _, name := range []string{service, ""} {
		key := answerKey(f, name)
		slot := &a.slots[key%answerSlots]
		if slot.key == key && slot.at > 0 && slot.at > since.Sub(a.start) {
			return true
		}
	}
	return false
}

func answerKey(f model.Fingerprint, service string) uint64 {
	return uint64(f) ^ xxhash.Sum64String(service)
}

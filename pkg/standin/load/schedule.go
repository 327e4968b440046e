package load

import (
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// schedule generates the intended send times of one stream, as offsets from the
// start of the run. They depend only on the seed and the configuration, not on
// answers, so a slow system does not reduce its load.
type schedule struct {
	stream Stream
	phases []Phase
	rng    *rand.Rand
	phase  int
	// lastTime is the last returned send time, or the start of the current phase if no
	// send time in this phase was returned. end is the end of the current phase.
	lastTime time.Duration
	end      time.Duration
}

func newSchedule(seed uint64, s Stream, phases []Phase) *schedule {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.Name))
	return &schedule{
		stream: s,
		phases: phases,
		rng:    rand.New(rand.NewPCG(seed, h.Sum64())),
		end:    phases[0].duration(),
	}
}

// next returns the next send time and the index of its phase, or false if the last
// phase has ended.
func (s *schedule) next() (time.Duration, int, bool) {
	for s.phase < len(s.phases) {
		if r := s.phases[s.phase].rate(s.stream); r > 0 {
			gap := time.Duration(s.rng.ExpFloat64() / r * float64(time.Second))
			if s.lastTime+gap < s.end {
				s.lastTime += gap
				return s.lastTime, s.phase, true
			}
		}
		// Exponential gaps are memoryless, so a new gap can start with the next phase.
		s.lastTime = s.end
		s.phase++
		if s.phase < len(s.phases) {
			s.end += s.phases[s.phase].duration()
		}
	}
	return 0, 0, false
}

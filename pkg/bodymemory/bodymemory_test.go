package bodymemory

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

const (
	testLimit = 1 << 20
	// maxHold is the longest time for which a reservation is held in runModel.
	maxHold = 2 * time.Second
)

// limiter is the part of Limiter that runModel uses, so that it also runs with faulty ones.
type limiter interface {
	Reserve(now time.Time, priority int, bytes int64, draw float64) (*Reservation, time.Duration)
	Resize(now time.Time, r *Reservation, bytes int64) bool
	Release(now time.Time, r *Reservation)
	Total() int64
	Held() [Classes]int64
}

// heldBody is a reservation in runModel.
type heldBody struct {
	reservation *Reservation
	class       int
	bytes       int64
	until       time.Time
}

// runModel makes random requests of all priorities at once, every 20 ms, and compares the
// limiter with the sum of what it has reserved. It returns the first rule that is broken.
// pick(n) returns a number from 0 to n-1.
func runModel(l limiter, steps int, pick func(n int) int) error {
	var bodies []heldBody
	held := func() (out [Classes]int64) {
		for _, b := range bodies {
			out[b.class] += b.bytes
		}
		return out
	}
	now := epoch
	for range steps {
		now = now.Add(20 * time.Millisecond)
		bodies = slices.DeleteFunc(bodies, func(b heldBody) bool {
			if now.Before(b.until) {
				return false
			}
			l.Release(now, b.reservation)
			l.Release(now, b.reservation)
			return true
		})
		for range Classes * 4 {
			class, bytes := pick(Classes), int64(1+pick(testLimit/16))
			before := held()[class]
			r, retryAfter := l.Reserve(now, class, bytes, float64(pick(10))/10)
			switch {
			case r != nil:
				b := heldBody{reservation: r, class: class, bytes: bytes, until: now.Add(time.Duration(1 + pick(int(maxHold))))}
				if pick(3) == 0 {
					b.bytes = int64(pick(int(bytes)))
					l.Resize(now, r, b.bytes)
				}
				bodies = append(bodies, b)
			case retryAfter < minRetryAfter || retryAfter > maxRetryAfter*3/2:
				return fmt.Errorf("refused with a time of %v", retryAfter)
			case now.Sub(epoch) > maxHold+time.Second && before+bytes <= int64(minShares[class]*testLimit):
				// All classes have had requests for longer than any body is held.
				return fmt.Errorf("class %d was refused within its share: it held %d and asked for %d", class, before, bytes)
			}
			sum := int64(0)
			for c, n := range held() {
				sum += n
				if n != l.Held()[c] {
					return fmt.Errorf("class %d holds %d, want %d", c, l.Held()[c], n)
				}
			}
			if sum != l.Total() || sum > testLimit {
				return fmt.Errorf("%d bytes are reserved, %d counted, limit %d", sum, l.Total(), testLimit)
			}
		}
	}
	for _, b := range bodies {
		l.Release(now, b.reservation)
	}
	if l.Total() != 0 {
		return fmt.Errorf("%d bytes are reserved after all releases", l.Total())
	}
	return nil
}

// TestLimiterModel guards against reservations over the limit, reservations that are not
// released or released twice, and a priority that is refused within its minimum share.
func TestLimiterModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Each step takes many numbers; one seed for them keeps the run short.
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		must.NoError(t, runModel(New(testLimit), rapid.IntRange(1, 400).Draw(t, "steps"), random.IntN))
	})
}

// Faulty limiters.
type (
	leaking     struct{ *Limiter }
	overLimit   struct{ *Limiter }
	withoutHold struct{ *Limiter }
	doubleFree  struct{ *Limiter }
)

func (l leaking) Release(now time.Time, r *Reservation) {
	if r.bytes%64 != 0 {
		l.Limiter.Release(now, r)
	}
}

func (l overLimit) Reserve(now time.Time, priority int, bytes int64, draw float64) (*Reservation, time.Duration) {
	l.limit = testLimit + testLimit/16
	return l.Limiter.Reserve(now, priority, bytes, draw)
}

func (l withoutHold) Reserve(now time.Time, priority int, bytes int64, draw float64) (*Reservation, time.Duration) {
	l.askedAt = [Classes]time.Time{}
	return l.Limiter.Reserve(now, priority, bytes, draw)
}

func (l doubleFree) Release(now time.Time, r *Reservation) {
	bytes := r.bytes
	l.Limiter.Release(now, r)
	r.bytes = bytes
}

// TestModelFindsFaults guards against a model test that passes whatever the limiter does.
func TestModelFindsFaults(t *testing.T) {
	for name, l := range map[string]limiter{
		"leaking": leaking{New(testLimit)}, "over the limit": overLimit{New(testLimit)},
		"shares not kept free": withoutHold{New(testLimit)}, "double release": doubleFree{New(testLimit)},
	} {
		err := runModel(l, 400, rand.New(rand.NewPCG(1, 1)).IntN)
		must.Error(t, err, must.Sprint(name))
		t.Logf("%s: %v", name, err)
	}
}

// TestUrgentMayUseAll guards against memory that is kept free for priorities without
// requests, and against a less urgent priority that takes what is left to urgent ones.
func TestUrgentMayUseAll(t *testing.T) {
	for priority, want := range map[int]int{0: 16, 1: 12, 2: 8, 3: 4, 7: 4} {
		l := New(testLimit)
		admitted := 0
		for range 20 {
			if r, _ := l.Reserve(epoch, priority, testLimit/16, 0); r != nil {
				admitted++
			}
		}
		must.Eq(t, want, admitted, must.Sprint(priority))
	}
}

// TestRetryAfterFollowsReleaseRate guards against a time to return that does not depend on
// how fast memory is released, that sends all refused callers back together, or that has no
// bound while nothing is released.
func TestRetryAfterFollowsReleaseRate(t *testing.T) {
	refuse := func(releasesPerSecond, callers int) (times []time.Duration) {
		l := New(testLimit)
		now := epoch
		for range 2 * releasesPerSecond {
			now = now.Add(time.Second / time.Duration(releasesPerSecond))
			r, _ := l.Reserve(now, 0, testLimit/16, 0)
			l.Release(now, r)
		}
		for l.excess(now, 0, testLimit/16) == 0 {
			_, _ = l.Reserve(now, 0, testLimit/16, 0)
		}
		for range callers {
			_, after := l.Reserve(now, 0, testLimit/16, 0)
			times = append(times, after)
		}
		return times
	}
	slow, fast := refuse(8, 4), refuse(16, 4)
	for i := range slow {
		must.Between(t, 1.8, float64(slow[i])/float64(fast[i]), 2.2, must.Sprint(slow, fast))
		must.Between(t, float64(i+1)/8*0.85, slow[i].Seconds(), float64(i+1)/8*1.1, must.Sprint(slow))
	}
	l := New(testLimit)
	_, _ = l.Reserve(epoch, 0, testLimit, 0)
	_, after := l.Reserve(epoch, 0, 1, 0)
	must.Eq(t, maxRetryAfter, after)
	_, jittered := l.Reserve(epoch, 0, 1, 0.5)
	must.Eq(t, maxRetryAfter*5/4, jittered)
}

// replayOutcome is what the callers of each priority get in replay.
type replayOutcome struct {
	asked, served [3]int
	peak          int64
}

// replay sends 225 requests of 256 KB a second for 20 seconds, whose bodies are held for 0.5
// to 5 s because upstreams read slowly. 40% have priority 0, and 30% each 1 and 2. A refused
// caller returns once.
func replay(l *Limiter) (out replayOutcome) {
	type arrival struct {
		at       time.Time
		priority int
		retry    bool
	}
	const body = 256 << 10
	random := rand.New(rand.NewPCG(2, 2))
	var arrivals []arrival
	for i := range 225 * 20 {
		arrivals = append(arrivals, arrival{at: epoch.Add(time.Duration(i) * time.Second / 225), priority: []int{0, 0, 0, 0, 1, 1, 1, 2, 2, 2}[random.IntN(10)]})
	}
	var held []heldBody
	for len(arrivals) > 0 {
		next := 0
		for i := range arrivals {
			if arrivals[i].at.Before(arrivals[next].at) {
				next = i
			}
		}
		a := arrivals[next]
		arrivals = slices.Delete(arrivals, next, next+1)
		slices.SortFunc(held, func(a, b heldBody) int { return a.until.Compare(b.until) })
		for len(held) > 0 && held[0].until.Before(a.at) {
			l.Release(held[0].until, held[0].reservation)
			held = held[1:]
		}
		if !a.retry {
			out.asked[a.priority]++
		}
		r, after := l.Reserve(a.at, a.priority, body, random.Float64())
		if r == nil {
			if !a.retry {
				arrivals = append(arrivals, arrival{at: a.at.Add(after), priority: a.priority, retry: true})
			}
			continue
		}
		out.served[a.priority]++
		held = append(held, heldBody{reservation: r, until: a.at.Add(500*time.Millisecond + time.Duration(random.Int64N(int64(4500*time.Millisecond))))})
		out.peak = max(out.peak, l.Total())
	}
	return out
}

// TestLoadPattern guards against the load under which an instance of 184 MB exceeded its
// memory: without a limit the bodies alone need over three quarters of it, and the copies
// that attempts made needed as much again. With the limit, urgent callers must get the most,
// and no priority may get less than its share.
func TestLoadPattern(t *testing.T) {
	const memory, limit = 184 << 20, 23 << 20
	unlimited, limited := replay(New(1<<40)), replay(New(limit))
	for name, o := range map[string]replayOutcome{"without limit": unlimited, "with limit": limited} {
		t.Logf("%s: peak %d MB, asked %v, served %v", name, o.peak>>20, o.asked, o.served)
	}
	must.Eq(t, unlimited.asked, unlimited.served)
	must.Greater(t, memory*3/4, unlimited.peak)
	must.LessEq(t, limit, limited.peak)
	for priority := range limited.served {
		// A share of 1/8 holds 11 bodies, which are held for 2.75 s on average.
		must.GreaterEq(t, int(0.75*minShares[priority]*limit/(256<<10)*20/2.75), limited.served[priority])
	}
	served := func(p int) float64 { return float64(limited.served[p]) / float64(limited.asked[p]) }
	must.Greater(t, served(1), served(0))
	must.GreaterEq(t, served(2), served(1))
}

package balancer

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "github.com/sardineturn/sardineturn/internal/testseed"
	"github.com/sardineturn/sardineturn/pkg/backpressure"
	"github.com/sardineturn/sardineturn/pkg/directory"
)

// coldFleet is a number of instances that send requests to one upstream while it is cold.
type coldFleet struct {
	t         must.T
	perSecond float64
	bounds    backpressure.ColdBounds
	// shareOf returns the share of an instance at a time, by what it knows of the others.
	shareOf func(instance int, at time.Duration) backpressure.Share
	// learns returns when an instance learns of a report of the upstream.
	learns func(instance int, reportedAt time.Duration) time.Duration
	// demand is the number of requests that an instance has to send at a time, wait the time
	// that such a request waits for a connection, and transit the time after which a request
	// that is sent arrives.
	demand        func(instance int, at time.Duration) int
	wait, transit func(instance int, at time.Duration) time.Duration
}

const (
	coldTime   = 5 * time.Second
	reportTime = 1200 * time.Millisecond
	coldStep   = 10 * time.Millisecond
)

// run returns the times at which requests arrive at the upstream while it is cold.
func (f *coldFleet) run(instances int) []time.Duration {
	var arrivals []time.Duration
	for i := range instances {
		s := NewService("near")
		var waiting []time.Duration
		for at := time.Duration(0); at < coldTime; at += coldStep {
			now, updated := start.Add(at), at%(500*time.Millisecond) == 0
			for reportedAt := time.Duration(0); reportedAt < coldTime; reportedAt += reportTime {
				if learnt := f.learns(i, reportedAt); learnt <= at && at < learnt+coldStep {
					s.Update(now, []directory.Upstream{{ID: "u", ColdUntil: now.Add(coldTime - reportedAt)}})
					updated = true
				}
			}
			if updated {
				s.LimitCold(now, f.perSecond, f.bounds, ColdShares{Version: uint64(at) + 1, Of: func(string) backpressure.Share { return f.shareOf(i, at) }})
			}
			for range f.demand(i, at) {
				u := s.Pick(now, typical, nil, true)
				if u == nil {
					break
				}
				must.True(f.t, u.ColdLimit(now).Reserve(now))
				waiting = append(waiting, at+f.wait(i, at))
			}
			waiting = slices.DeleteFunc(waiting, func(sendAt time.Duration) bool {
				if sendAt <= at && s.Find("u").ColdLimit(now).SendReserved(now) {
					arrivals = append(arrivals, at+f.transit(i, at))
				}
				return sendAt <= at
			})
		}
	}
	slices.Sort(arrivals)
	return arrivals
}

// mostInOneSecond returns the largest number of arrivals in a second.
func mostInOneSecond(arrivals []time.Duration) int {
	most := 0
	for from, to := 0, 0; to < len(arrivals); to++ {
		for arrivals[to]-arrivals[from] >= time.Second {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

func allowedInOneSecond(perSecond float64, b backpressure.ColdBounds) int {
	return int(math.Floor(b.Excess*perSecond + b.Slack + 1e-9))
}

// exceeded returns how many requests the upstream gets in a second beyond those that the
// platform allows; it is at most zero if the bound holds.
func (f *coldFleet) exceeded(instances int, b backpressure.ColdBounds) int {
	return mostInOneSecond(f.run(instances)) - allowedInOneSecond(f.perSecond, b)
}

func noWait(int, time.Duration) time.Duration { return 0 }

// squeeze is a transit in which the requests that were taken within a tenth of a second
// after from arrive together at its end.
func squeeze(from time.Duration) func(int, time.Duration) time.Duration {
	return func(_ int, at time.Duration) time.Duration {
		return min(max(0, from+100*time.Millisecond-at), 100*time.Millisecond)
	}
}

// TestColdBound guards against instances that together send a cold upstream more requests
// in a second than the platform allows, for any division of the load, with reports of the
// upstream that arrive late and in any order, and with instances that do not know up to a
// fifth of the others.
func TestColdBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 3, 10, 25, 40, 60}).Draw(t, "instances")
		f := &coldFleet{
			t:         t,
			perSecond: rapid.SampledFrom([]float64{0.1, 0.7, 1, 2, 3, 5, 8, 10, 13, 20, 30, 60}).Draw(t, "per second"),
			bounds: backpressure.ColdBounds{
				Excess: rapid.SampledFrom([]float64{1.5, 0, 0.5, 1, 3}).Draw(t, "excess"),
				Slack:  rapid.SampledFrom([]float64{5, 0, 1, 2.5, 10}).Draw(t, "slack"),
			},
		}
		perInstance := func(name string, values ...int) []int {
			return rapid.SliceOfN(rapid.SampledFrom(values), n, n).Draw(t, name)
		}
		unknown, changesAt := perInstance("percent unknown", 20, 20, 10, 0), perInstance("change at ms", 0, 0, 1000, 2500)
		f.shareOf = func(i int, at time.Duration) backpressure.Share {
			missing := unknown[i]
			if at < time.Duration(changesAt[i])*time.Millisecond {
				missing = 0
			}
			return backpressure.Share{Senders: max(10, n-missing*n/100), Rank: i - missing*i/100}
		}
		delays := perInstance("delay in steps", 0, 10, 50, 100, 300)
		f.learns = func(i int, reportedAt time.Duration) time.Duration {
			return reportedAt + time.Duration(delays[(i+int(reportedAt/reportTime))%n])*coldStep
		}
		from := rapid.SampledFrom([]int{0, 1000, 2000, 3500}).Draw(t, "demand from ms")
		each, later := perInstance("demand", 100, 100, 100, 1, 0), perInstance("starts later by ms", 0, 0, 0, 300, 1000)
		f.demand = func(i int, at time.Duration) int {
			if at < time.Duration(from+later[i])*time.Millisecond {
				return 0
			}
			return each[i]
		}
		f.wait, f.transit = noWait, squeeze(time.Duration(from)*time.Millisecond)
		if rapid.Bool().Draw(t, "connections open together") {
			opensAt := time.Duration(from)*time.Millisecond + time.Second
			f.wait = func(_ int, at time.Duration) time.Duration { return max(0, opensAt-at) }
		}
		if rapid.Bool().Draw(t, "random transit") {
			transits := perInstance("transit in ms", 0, 20, 50, 100)
			f.transit = func(i int, at time.Duration) time.Duration {
				return time.Duration(transits[(i+int(at/coldStep))%n]) * time.Millisecond
			}
		}
		if n := f.exceeded(n, f.bounds); n > 0 {
			t.Fatalf("%d requests in a second more than allowed", n)
		}
	})
}

// TestColdBoundNeedsItsMargins guards against a check of the bound that does not notice
// faulty shares, and against shares so small that a cold upstream gets much less than it
// tolerates.
func TestColdBoundNeedsItsMargins(t *testing.T) {
	const n = 60
	bounds := backpressure.ColdBounds{Excess: 1.5, Slack: 5}
	known := func(i int) backpressure.Share { return backpressure.Share{Senders: n, Rank: i} }
	fifthUnknown := func(i int) backpressure.Share {
		return backpressure.Share{Senders: n - n/5, Rank: i - i/5}
	}
	for name, c := range map[string]struct {
		bounds  backpressure.ColdBounds
		share   func(i int) backpressure.Share
		exceeds bool
	}{
		"all known":                        {bounds, known, false},
		"a fifth unknown":                  {bounds, fifthUnknown, false},
		"a fifth unknown without a margin": {backpressure.ColdBounds{Excess: bounds.Excess / 0.8, Slack: bounds.Slack / 0.8}, fifthUnknown, true},
		"places of those known only":       {bounds, func(i int) backpressure.Share { return backpressure.Share{Senders: n / 2, Rank: i / 2} }, true},
		"no shares":                        {bounds, func(int) backpressure.Share { return backpressure.Share{Senders: 1} }, true},
	} {
		t.Run(name, func(t *testing.T) {
			worst := math.MinInt
			for perSecond := 1.0; perSecond <= 40; perSecond++ {
				f := &coldFleet{
					t: t, perSecond: perSecond, bounds: c.bounds,
					shareOf: func(i int, _ time.Duration) backpressure.Share { return c.share(i) },
					learns:  func(_ int, at time.Duration) time.Duration { return at },
					demand:  func(int, time.Duration) int { return 100 },
					wait:    noWait,
					transit: squeeze(0),
				}
				worst = max(worst, f.exceeded(n, bounds))
				must.GreaterEq(t, 0.75*perSecond*coldTime.Seconds(), float64(len(f.run(n))))
			}
			must.Eq(t, c.exceeds, worst > 0, must.Sprint(worst))
		})
	}
}

// TestColdLimitSurvivesRelisting guards against an upstream that gets the requests of a
// second twice because its entry disappeared and returned, or because this instance
// became a sharer in place of another one.
func TestColdLimitSurvivesRelisting(t *testing.T) {
	list := []directory.Upstream{{ID: "u", ColdUntil: start.Add(time.Minute)}}
	s := NewService("near")
	sharer := backpressure.Share{Senders: 10}
	update := func(now time.Time, list []directory.Upstream, share backpressure.Share) {
		s.Update(now, list)
		s.LimitCold(now, 10, backpressure.ColdBounds{Excess: 1.5, Slack: 5}, ColdShares{Version: 1 + uint64(share.Rank), Of: func(string) backpressure.Share { return share }})
	}
	update(start, list, sharer)
	must.True(t, s.Find("u").ColdLimit(start).Reserve(start))
	must.True(t, s.RateLimited(start))
	must.True(t, s.Find("u").ColdLimit(start).SendReserved(start))
	update(start, nil, sharer)
	update(start, list, sharer)
	must.True(t, s.RateLimited(start))
	must.True(t, s.ColdLimited(start))
	must.Between(t, 500*time.Millisecond, s.RetryAt(start).Sub(start), time.Second)
	later := start.Add(10 * time.Second)
	must.False(t, s.RateLimited(later))
	update(later, list, backpressure.Share{Senders: 10, Rank: 20})
	must.True(t, s.RateLimited(later))
	update(later, list, sharer)
	must.True(t, s.RateLimited(later))
	changes, cold := s.LimitCold(later, 0, backpressure.ColdBounds{}, ColdShares{})
	must.Eq(t, fmt.Sprint([]string{"u"}, 0), fmt.Sprint(changes.Ended, cold))
	must.False(t, s.RateLimited(later))
}

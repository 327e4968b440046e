package compare

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// simulatedUpstream models an upstream with slots, a queue of limited length, and
// faults.
type simulatedUpstream struct {
	name       string
	dataCentre model.DataCentre
	slots      int
	queueLimit int
	running    int
	queue      []*call
	// slowdown is a factor of the service time.
	slowdown float64
	down     bool
	// shedFraction is the fraction of calls that the upstream refuses.
	shedFraction float64
	// coldUntil is the time at which a restarted upstream has its usual speed and
	// all its slots again.
	coldUntil time.Time
	// reportedLoad is the load that the upstream's load endpoint reports.
	reportedLoad      float64
	alwaysReportsIdle bool
}

// call is the state of one attempt from its start to its reply.
type call struct {
	request  port.UpstreamCall
	query    *simulatedQuery
	upstream *simulatedUpstream
	home     *instance
	// sender is the instance that makes the call: the home, or with slot leases
	// the entry.
	sender           *instance
	executionStarted bool
	ended            bool
	// atUpstream is true while the call has a slot or a place in the upstream's
	// queue.
	atUpstream   bool
	attemptIndex int
}

const (
	// A restarted upstream is cold for coldTime while it loads its index. It
	// starts with one slot and coldFactor times the usual service time; both then
	// change linearly to their usual values.
	coldTime   = 2 * time.Second
	coldFactor = 6
)

// usableSlots returns the number of slots that the upstream has at the given time.
func (u *simulatedUpstream) usableSlots(now time.Time) int {
	if now.Before(u.coldUntil) {
		return max(1, int(float64(u.slots)*(1-u.remainingColdFraction(now))))
	}
	return u.slots
}

// remainingColdFraction returns a value that falls from 1 at a restart to 0 after coldTime.
func (u *simulatedUpstream) remainingColdFraction(now time.Time) float64 {
	return max(0, u.coldUntil.Sub(now).Seconds()/coldTime.Seconds())
}

// serviceTime returns how long the call occupies its slot. The random part depends
// only on the seed, the query, the shard and the number of the attempt, so that all
// variants get the same service times.
func (sim *simulation) serviceTime(c *call) time.Duration {
	r := sim.randFor(c)
	s := sim.size.service.ServiceTimes[""]
	ms := s.MedianMS * math.Exp(s.Sigma*r.NormFloat64()) * c.upstream.slowdown
	ms *= 1 + (coldFactor-1)*c.upstream.remainingColdFraction(sim.now)
	return time.Duration(ms * float64(time.Millisecond))
}

// randFor returns a random source that depends only on the seed, the query, the
// shard and the number of the attempt.
func (sim *simulation) randFor(c *call) *rand.Rand {
	var shard uint64
	for _, b := range []byte(c.request.Shard) {
		shard = shard*31 + uint64(b)
	}
	return rand.New(rand.NewPCG(sim.seed^shard<<32, uint64(c.query.number)<<8|uint64(c.attemptIndex)))
}

// receiveCall makes an upstream refuse, execute or queue a call that arrives.
func (sim *simulation) receiveCall(c *call) {
	u := c.upstream
	switch {
	case c.ended:
	case u.down:
		sim.replyToSender(c, result.ConnectFailed, model.NotRun)
	case u.shedFraction > 0 && sim.randFor(c).Float64() < u.shedFraction:
		sim.shedCalls++
		sim.replyToSender(c, result.UpstreamShed, model.NotRun)
	case u.running < u.usableSlots(sim.now):
		sim.executeCall(c)
	case len(u.queue) < u.queueLimit:
		c.atUpstream = true
		u.queue = append(u.queue, c)
	default:
		sim.shedCalls++
		sim.replyToSender(c, result.UpstreamShed, model.NotRun)
	}
}

func (sim *simulation) executeCall(c *call) {
	u := c.upstream
	c.atUpstream, c.executionStarted = true, true
	u.running++
	sim.after(sim.serviceTime(c), func() {
		if !c.atUpstream {
			return
		}
		c.atUpstream = false
		u.running--
		sim.startQueued(u)
		if !c.ended {
			sim.replyToSender(c, result.OK, model.Ran)
		}
	})
}

// startQueued executes queued calls, the oldest first, while slots are free.
func (sim *simulation) startQueued(u *simulatedUpstream) {
	for u.running < u.usableSlots(sim.now) && len(u.queue) > 0 {
		c := u.queue[0]
		u.queue = u.queue[1:]
		sim.executeCall(c)
	}
}

// removeFromUpstream frees the slot or the queue place of a call that was cancelled
// or lost, and executes queued calls in the freed slot.
func (sim *simulation) removeFromUpstream(c *call) {
	if !c.atUpstream {
		return
	}
	c.atUpstream = false
	u := c.upstream
	if c.executionStarted {
		u.running--
	}
	for i, q := range u.queue {
		if q == c {
			u.queue = append(u.queue[:i:i], u.queue[i+1:]...)
			break
		}
	}
	sim.startQueued(u)
}

// crashUpstream stops an upstream. The calls that it executes or queues fail, and it
// accepts no connection until restartUpstream.
func (sim *simulation) crashUpstream(u *simulatedUpstream) {
	u.down = true
	for _, c := range sim.callsInFlight() {
		if c.upstream == u && c.atUpstream {
			sim.removeFromUpstream(c)
			sim.replyToSender(c, result.UpstreamLost, model.RunUnknown)
		}
	}
}

// restartUpstream starts a crashed upstream again, in its cold state.
func (sim *simulation) restartUpstream(u *simulatedUpstream) {
	u.down = false
	u.coldUntil = sim.now.Add(coldTime)
}

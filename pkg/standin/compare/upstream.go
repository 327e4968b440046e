package compare

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// server is an upstream: slots, a short queue, and faults.
type server struct {
	name       string
	dataCentre model.DataCentre
	slots      int
	queueLimit int
	running    int
	queue      []*call
	slow       float64
	down       bool
	// shed is the fraction of calls that are refused.
	shed float64
	// coldUntil is when a started upstream has its usual speed and slots.
	coldUntil time.Time
	// reported is the load that its load endpoint shows.
	reported float64
	misleads bool
}

// call is one attempt on its way.
type call struct {
	start    port.UpstreamCall
	query    *queryRun
	server   *server
	home     *instance
	client   *instance
	began    bool
	over     bool
	atServer bool
	served   int
}

const (
	// coldTime is how long a started upstream is cold, and coldFactor how much
	// slower it is at first. A cold upstream has one slot: it loads its index.
	coldTime   = 2 * time.Second
	coldFactor = 6
)

// capacityNow returns the number of slots in use at this moment.
func (u *server) capacityNow(now time.Time) int {
	if now.Before(u.coldUntil) {
		return max(1, int(float64(u.slots)*(1-u.coldness(now))))
	}
	return u.slots
}

func (u *server) coldness(now time.Time) float64 {
	return max(0, u.coldUntil.Sub(now).Seconds()/coldTime.Seconds())
}

// serviceTime depends only on the seed, the query, the shard and the number of
// the attempt, so that all ways meet the same times.
func (w *world) serviceTime(c *call) time.Duration {
	r := w.draw(c)
	s := w.size.service.ServiceTimes[""]
	ms := s.MedianMS * math.Exp(s.Sigma*r.NormFloat64()) * c.server.slow
	ms *= 1 + (coldFactor-1)*c.server.coldness(w.now)
	return time.Duration(ms * float64(time.Millisecond))
}

func (w *world) draw(c *call) *rand.Rand {
	var shard uint64
	for _, b := range []byte(c.start.Shard) {
		shard = shard*31 + uint64(b)
	}
	return rand.New(rand.NewPCG(w.seed^shard<<32, uint64(c.query.number)<<8|uint64(c.served)))
}

// arrive is the arrival of a call at its upstream.
func (w *world) arrive(c *call) {
	u := c.server
	switch {
	case c.over:
	case u.down:
		w.reply(c, result.ConnectFailed, model.NotRun)
	case u.shed > 0 && w.draw(c).Float64() < u.shed:
		w.shed++
		w.reply(c, result.UpstreamShed, model.NotRun)
	case u.running < u.capacityNow(w.now):
		w.execute(c)
	case len(u.queue) < u.queueLimit:
		c.atServer = true
		u.queue = append(u.queue, c)
	default:
		w.shed++
		w.reply(c, result.UpstreamShed, model.NotRun)
	}
}

func (w *world) execute(c *call) {
	u := c.server
	c.atServer, c.began = true, true
	u.running++
	w.after(w.serviceTime(c), func() {
		if !c.atServer {
			return
		}
		c.atServer = false
		u.running--
		w.pull(u)
		if !c.over {
			w.reply(c, result.OK, model.Ran)
		}
	})
}

// pull starts queued calls while there are slots.
func (w *world) pull(u *server) {
	for u.running < u.capacityNow(w.now) && len(u.queue) > 0 {
		c := u.queue[0]
		u.queue = u.queue[1:]
		w.execute(c)
	}
}

// leave takes a cancelled call off its upstream.
func (w *world) leave(c *call) {
	if !c.atServer {
		return
	}
	c.atServer = false
	u := c.server
	if c.began {
		u.running--
	}
	for i, q := range u.queue {
		if q == c {
			u.queue = append(u.queue[:i:i], u.queue[i+1:]...)
			break
		}
	}
	w.pull(u)
}

// crash ends an upstream with everything on it.
func (w *world) crash(u *server) {
	u.down = true
	for _, c := range w.live() {
		if c.server == u && c.atServer {
			w.leave(c)
			w.reply(c, result.UpstreamLost, model.RunUnknown)
		}
	}
}

// restart brings an upstream back cold.
func (w *world) restart(u *server) {
	u.down = false
	u.coldUntil = w.now.Add(coldTime)
}

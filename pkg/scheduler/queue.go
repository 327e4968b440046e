package scheduler

import (
	"slices"
	"time"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/model"
)

// callerLookahead limits how many unstarted requests of a caller dispatch
// examines, oldest first, when the oldest one cannot use a free slot.
const callerLookahead = 4

// priority holds the queues, the credit and the statistics of one priority.
type priority struct {
	name   string
	target time.Duration
	// share is the guaranteed share of slot time, 0 to 1.
	share float64
	// credit is the slot time that the priority has earned and not used, in
	// slot seconds; a negative value is a debt.
	credit float64
	// meanInFlight is the moving average of the number of slots in use.
	meanInFlight float64
	inFlight     int
	// waitingParts is the number of parts that wait for a slot.
	waitingParts int
	// active lists the started requests with waiting parts, the oldest first.
	active []*request
	// callers lists, in round-robin order, the queues of the callers that have
	// requests without an attempt.
	callers  []*callerQueue
	byCaller map[model.CallerID]*callerQueue
	// meanSlotTime is the moving average of the slot time of an attempt, in
	// seconds.
	meanSlotTime float64
	// waitingSince is the time at which waitingParts last rose from zero.
	waitingSince time.Time
	// shedAt is the time of the last refusal for overload.
	shedAt time.Time
	// margin is the safety margin, a factor on expected times; it grows when
	// admitted requests are late.
	margin float64
	// Numbers of requests since the priority was created.
	admitted, refused uint64
}

// callerQueue holds the requests of one caller that have had no attempt.
type callerQueue struct {
	id           model.CallerID
	requests     []*request
	waitingParts int
}

func newPriority(d document.Priority) *priority {
	p := &priority{byCaller: make(map[model.CallerID]*callerQueue), margin: minMargin}
	p.configure(d)
	p.meanSlotTime = initialLatency.Seconds()
	return p
}

func (p *priority) configure(d document.Priority) {
	p.name = d.Name
	p.share = d.GuaranteedShare
	p.target = d.Target()
}

// enqueue appends an admitted request to its caller's queue.
func (p *priority) enqueue(now time.Time, r *request) {
	q := p.byCaller[r.req.Caller]
	if q == nil {
		q = &callerQueue{id: r.req.Caller}
		p.byCaller[q.id] = q
		p.callers = append(p.callers, q)
	}
	r.callerQueue = q
	q.requests = append(q.requests, r)
	q.waitingParts += r.waitingParts
	p.addWaiting(now, r.waitingParts)
}

func (p *priority) addWaiting(now time.Time, n int) {
	if p.waitingParts == 0 {
		p.waitingSince = now
	}
	p.waitingParts += n
}

// removeFromQueue removes a request from its caller's queue. If the request was
// started and the caller has further requests in the queue, the caller goes to the
// end of the round-robin order.
func (p *priority) removeFromQueue(r *request, started bool) {
	q := r.callerQueue
	if q == nil {
		return
	}
	r.callerQueue = nil
	i := slices.Index(q.requests, r)
	q.requests = slices.Delete(q.requests, i, i+1)
	q.waitingParts -= r.waitingParts
	position := slices.Index(p.callers, q)
	switch {
	case len(q.requests) == 0:
		p.callers = slices.Delete(p.callers, position, position+1)
		delete(p.byCaller, q.id)
	case started:
		p.callers = slices.Delete(p.callers, position, position+1)
		p.callers = append(p.callers, q)
	}
}

// activate adds a started request with waiting parts to the active list, in
// order of admission.
func (p *priority) activate(r *request) {
	if r.inActiveList {
		return
	}
	r.inActiveList = true
	position, _ := slices.BinarySearchFunc(p.active, r, func(a, b *request) int {
		if a.seq < b.seq {
			return -1
		}
		return 1
	})
	p.active = slices.Insert(p.active, position, r)
}

func (p *priority) deactivate(r *request) {
	if !r.inActiveList {
		return
	}
	r.inActiveList = false
	i := slices.Index(p.active, r)
	p.active = slices.Delete(p.active, i, i+1)
}

// enqueuePart makes a part wait for a slot.
func (s *Scheduler) enqueuePart(now time.Time, p *part) {
	r := p.request
	p.state = partWaiting
	r.waitingParts++
	r.prio.addWaiting(now, 1)
	if r.callerQueue != nil {
		r.callerQueue.waitingParts++
		return
	}
	r.prio.activate(r)
}

// dequeuePart removes a part from the counts of waiting parts.
func (s *Scheduler) dequeuePart(p *part) {
	r := p.request
	r.waitingParts--
	r.prio.waitingParts--
	if r.callerQueue != nil {
		r.callerQueue.waitingParts--
	}
	if r.waitingParts == 0 {
		r.prio.deactivate(r)
	}
	if r.prio.waitingParts < 0 || r.waitingParts < 0 {
		s.reportViolation("waiting part count is negative")
	}
}

package instance

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/order"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// pickEntry returns the process that gets a caller's request: a random one of those
// that were ready in the last sample of sampleState. In runs with faults, 5% of the
// requests go to a random host, ready or not. If no process was ready, all requests
// do. pickEntry returns nil if that host runs no process.
func (d *driver) pickEntry() *process {
	list := *d.readyProcesses.Load()
	if len(list) == 0 || d.hasFaults && d.chance(0.05) {
		return d.hostAt(int(d.randomBetween(0, fleetSize-1))).currentProcess()
	}
	return list[int(d.randomBetween(0, time.Duration(len(list)-1)))]
}

// requestAsCaller runs a caller's request at the process and checks that it is
// answered by its deadline, unless the process was paused meanwhile. In runs with
// faults, 2% of the callers cancel their requests. It returns false if the caller
// gets no answer, because the process accepts no requests, was killed or took
// longer than answerTimeout.
func (d *driver) requestAsCaller(p *process, name string, deadline time.Time, call func(context.Context)) bool {
	if p == nil || p.callersClosed.Load() {
		return false
	}
	p.callerRequests.Add(1)
	defer p.callerRequests.Add(-1)
	pauses, wasPaused := p.pauses(), p.isPaused()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if d.hasFaults && d.chance(0.02) {
		time.AfterFunc(d.randomBetween(0, 50*time.Millisecond), cancel)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.awaitRunning()
		call(ctx)
		p.awaitRunning()
	}()
	select {
	case <-done:
	case <-p.dead:
		return false
	case <-time.After(answerTimeout):
		d.check("answered in time", false, "%s at %s was not answered", name, p.host.id)
		return false
	}
	pausedMeanwhile := wasPaused || p.pauses() != pauses
	d.check("answered in time", pausedMeanwhile || !time.Now().After(deadline.Add(answerMargin)), "%s was answered by %s %s after its deadline", name, p.host.id, time.Since(deadline))
	return true
}

var priorityDeadlines = map[string]time.Duration{"top": 400 * time.Millisecond, "middle": 800 * time.Millisecond, "low": 1500 * time.Millisecond}

// query sends a query through a random entry and checks its answer. An empty tag
// stands for a new one.
func (d *driver) query(service, priority, tag string, crash bool) {
	if tag == "" {
		tag = fmt.Sprintf("q-%d", d.lastTag.Add(1))
	}
	content, _ := json.Marshal(payload{Tag: tag, Crash: crash})
	q := model.Query{Service: service, Operation: "search", Priority: priority, Caller: model.CallerID("c" + tag[len(tag)-1:]), Payload: content}
	if d.chance(0.2) && !crash {
		q.Shards = []model.ShardID{"0", "1"}
	}
	p, deadline := d.pickEntry(), time.Now().Add(priorityDeadlines[priority])
	if d.chance(0.2) {
		deadline = time.Now().Add(d.randomBetween(time.Millisecond, priorityDeadlines[priority]))
		q.Deadline = deadline
	}
	var a model.Answer
	if d.requestAsCaller(p, tag, deadline, func(ctx context.Context) { a = p.instance.Query(ctx, q) }) {
		d.checkAnswer(q, tag, crash, a)
	}
}

// submission is one submission of an order, with its answer.
type submission struct {
	tag    string
	ticket order.Ticket
	start  time.Time
	answer port.OrderAnswer
}

// order gets a ticket for an order and submits the order with it one to three times
// through random instances, at the same time or one after another.
func (d *driver) order(service string) {
	key := fmt.Sprintf("o-%d", d.lastTag.Add(1))
	owner := d.pickEntry()
	var ticket order.Ticket
	err := error(nil)
	if !d.requestAsCaller(owner, key, time.Now().Add(answerMargin), func(context.Context) {
		ticket, _, err = owner.instance.IssueTicket(order.Spec{Service: service, Operation: "reserve", Key: key, Validity: orderValidity})
	}) || err != nil {
		return
	}
	for k := range int(d.randomBetween(1, 3)) {
		s := &submission{tag: key, ticket: ticket}
		if k == 2 && d.chance(0.3) {
			s.tag += "-other" // Another payload with the same ticket.
		}
		d.load.Go(func() { d.submit(service, key, s) })
		if d.chance(0.7) {
			time.Sleep(d.randomBetween(0, 700*time.Millisecond))
		}
	}
}

// submit submits an order once. If the answer holds a next ticket, it submits the
// order again with it in half of the cases.
func (d *driver) submit(service, key string, s *submission) {
	content, _ := json.Marshal(payload{Tag: s.tag})
	p, deadline := d.pickEntry(), time.Now().Add(priorityDeadlines["middle"])
	sub := port.OrderSubmission{Ticket: s.ticket.String(), Service: service, Operation: "reserve", Priority: "middle", Payload: content, Shard: "0"}
	s.start = time.Now()
	d.mu.Lock()
	d.orders[key] = append(d.orders[key], s)
	d.mu.Unlock()
	var answer port.OrderAnswer
	if !d.requestAsCaller(p, s.tag, deadline, func(ctx context.Context) { answer = p.instance.SubmitOrder(ctx, sub) }) {
		return
	}
	d.mu.Lock()
	s.answer = answer
	d.answerCounts["order "+answer.Code.String()+" "+answer.Ran.String()]++
	var f fakeResult
	if answer.Code == result.OK && (json.Unmarshal(answer.Result, &f) != nil || f.Tag != s.tag || f.Snapshot != answer.Snapshot) {
		d.recordViolationLocked("own results", "order %s got the result of %s", s.tag, f.Tag)
	}
	d.mu.Unlock()
	if next, err := order.ParseTicket(answer.NextTicket); err == nil && d.chance(0.5) {
		time.Sleep(d.randomBetween(0, 300*time.Millisecond))
		d.submit(service, key, &submission{tag: s.tag, ticket: next})
	}
}

// startLoad starts the load of queries and orders, which runs until d.stop is
// closed.
func (d *driver) startLoad() {
	for _, s := range services {
		d.load.Go(func() {
			for n := 0; d.isRunning(); n++ {
				d.load.Go(func() { d.query(s, []string{"top", "middle", "low"}[n%3], "", false) })
				time.Sleep(d.randomBetween(0, 60*time.Millisecond))
			}
		})
	}
	d.load.Go(func() {
		for n := 0; d.isRunning(); n++ {
			d.load.Go(func() { d.order(services[n%2]) })
			time.Sleep(d.randomBetween(0, 2*time.Second/ordersPerSecond))
		}
	})
}

func (d *driver) isRunning() bool {
	select {
	case <-d.stop:
		return false
	default:
		return true
	}
}

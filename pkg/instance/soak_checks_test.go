package instance

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/order"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// checkAnswer checks a query's answer against the query and the published
// snapshots. In a run without faults other than graceful restarts, every query must
// be answered in full unless it sets a deadline itself, is cancelled, crashes
// upstreams or is refused because the time left until its deadline is too short.
func (d *driver) checkAnswer(q model.Query, tag string, crash bool, a model.Answer) {
	d.mu.Lock()
	d.answerCounts[a.Code.String()]++
	if a.Ran == model.NotRun && !crash {
		d.notRunCodes[tag] = a.Code
	}
	published, known := d.publishedShards[a.Snapshot]
	if !d.hasFaults && a.Code != result.OK && a.Code != result.Cancelled && a.Code != result.DeadlineTooShort && q.Deadline.IsZero() && !crash {
		d.recordViolationLocked("full service", "%s was answered with %s at coverage %d of %d", tag, a.Code, a.Coverage.Answered, a.Coverage.Total)
	}
	d.mu.Unlock()
	if a.Snapshot == "" && len(a.Results) == 0 {
		d.check("coverage", a.Ran != model.Ran && a.Coverage.Total == 0, "%s: answer without a snapshot says %v", tag, a.Ran)
		return
	}
	wanted := published
	if len(q.Shards) > 0 {
		wanted = q.Shards
	}
	got := make(map[model.ShardID]bool)
	for _, r := range a.Results {
		var f fakeResult
		err := json.Unmarshal(r.Result, &f)
		d.check("own results", err == nil && f.Tag == tag && f.Shard == r.Shard, "%s shard %s got the result of %s shard %s", tag, r.Shard, f.Tag, f.Shard)
		d.check("one snapshot", known && f.Snapshot == a.Snapshot, "%s: result from snapshot %s in an answer of %s", tag, f.Snapshot, a.Snapshot)
		d.check("coverage", r.Code == result.OK && !got[r.Shard] && slices.Contains(wanted, r.Shard), "%s: shard %s was answered twice or not requested", tag, r.Shard)
		got[r.Shard] = true
	}
	missing := make(map[model.ShardID]bool)
	for _, m := range a.Coverage.Missing {
		missing[m.Shard] = true
	}
	exact := a.Coverage.Answered == len(got) && a.Coverage.Total == len(wanted) && len(missing) == len(wanted)-len(got)
	for _, s := range wanted {
		exact = exact && got[s] != missing[s]
	}
	complete := len(got) == len(wanted)
	d.check("coverage", exact && (a.Code == result.OK) == complete, "%s: code %s, coverage %+v, %d results of %d shards", tag, a.Code, a.Coverage, len(got), len(wanted))
	d.check("not run", a.Ran != model.NotRun || len(got) == 0, "%s: not run with results", tag)
}

// sampleState checks every sampleInterval which processes are ready, as a load
// balancer does, stores them in readyProcesses and checks the revisions in force.
func (d *driver) sampleState() {
	last := make(map[*process]map[string]model.GroupKey)
	for {
		var ready []*process
		for _, h := range d.hosts {
			p := h.currentProcess()
			if p == nil || p.isPaused() {
				continue
			}
			if ok, _ := p.instance.Ready(); ok {
				ready = append(ready, p)
			}
			if last[p] == nil {
				last[p] = make(map[string]model.GroupKey)
			}
			for _, s := range services {
				d.checkRevision(p, s, last[p])
			}
		}
		d.readyProcesses.Store(&ready)
		select {
		case <-d.stop:
			return
		case <-time.After(sampleInterval):
		}
	}
}

// checkRevision checks that a service's revision in force never goes down, that the
// content of a revision never changes, and that it was published as valid. last
// holds, by service, the previous sample. A sample is stored as a GroupKey whose
// Service is "service revision digest" and whose Index is the revision.
func (d *driver) checkRevision(p *process, service string, last map[string]model.GroupKey) {
	doc := p.instance.document(service)
	if doc == nil {
		d.check("revision grows", last[service].Service == "", "%s lost the document of %s", p.host.id, service)
		return
	}
	current := model.GroupKey{Service: fmt.Sprintf("%s %d %d", service, doc.Revision, doc.Digest), Index: int(doc.Revision)}
	previous := last[service]
	d.check("revision grows", previous.Index < current.Index || previous == current, "%s went from %s to %s", p.host.id, previous.Service, current.Service)
	d.mu.Lock()
	published := d.publishedDocuments[current.Service]
	d.mu.Unlock()
	d.check("revision published", published, "%s has %s in force, which is invalid or was never published", p.host.id, current.Service)
	last[service] = current
}

// expectedRevisions returns, by service, the highest valid revision that the
// platform shows or that is in force at any instance.
func (d *driver) expectedRevisions() map[string]uint64 {
	out := make(map[string]uint64)
	_, docs, _, _ := d.platform.view()
	for _, s := range services {
		if doc, err := document.Parse(docs[s]); err == nil {
			out[s] = doc.Revision
		}
		for _, h := range d.hosts {
			if doc := h.currentProcess().instance.document(s); doc != nil {
				out[s] = max(out[s], doc.Revision)
			}
		}
	}
	return out
}

// checkRecovered checks that every instance is ready and has at least the wanted
// revisions in force.
func (d *driver) checkRecovered(want map[string]uint64) {
	for _, h := range d.hosts {
		for _, s := range services {
			got := uint64(0)
			if doc := h.currentProcess().instance.document(s); doc != nil {
				got = doc.Revision
			}
			d.check("converged", got >= want[s], "%s has revision %d of %s %s after the faults, want %d", h.id, got, s, convergenceBound, want[s])
		}
		ok, phaseName := h.currentProcess().instance.Ready()
		d.check("ready", ok, "%s is %s %s after the faults", h.id, phaseName, convergenceBound)
	}
}

// checkExecutions compares the answers with the executions that the upstreams
// recorded: no request that was answered as "not run" has run, and no order has run
// twice.
func (d *driver) checkExecutions() {
	d.mu.Lock()
	defer d.mu.Unlock()
	byOrder := make(map[string][]execution)
	for _, e := range d.executions {
		if e.orderKey != "" {
			byOrder[e.orderKey] = append(byOrder[e.orderKey], e)
		} else if code, ok := d.notRunCodes[e.tag]; ok {
			d.recordViolationLocked("not run", "%s was refused with %s and ran on %s", e.tag, code, e.upstream)
		}
	}
	d.checkCounts["not run"] += len(d.notRunCodes)
	for key, subs := range d.orders {
		runs := byOrder[key]
		d.checkCounts["order once"]++
		if len(runs) > 1 {
			d.recordViolationLocked("order once", "%s ran %d times", key, len(runs))
		}
		for _, s := range subs {
			d.checkSubmission(s, subs, runs)
		}
	}
}

// checkSubmission checks an order's answer against its executions. After an answer
// of "not run", the order may run only once a caller has sent the next ticket that
// the answer holds. After an answer of "ran", there must be an execution.
func (d *driver) checkSubmission(s *submission, subs []*submission, runs []execution) {
	d.checkCounts["order answer"]++
	for _, e := range runs {
		if s.answer.Code != 0 && s.answer.Ran == model.NotRun && e.tag == s.tag && !sentBefore(subs, s.answer.NextTicket, e.at) {
			d.recordViolationLocked("not run", "order %s was refused with %s and ran", s.tag, s.answer.Code)
		}
	}
	if s.answer.Ran == model.Ran && len(runs) == 0 {
		d.recordViolationLocked("order answer", "order %s is answered as run without an execution", s.tag)
	}
}

// sentBefore reports whether a caller had sent the ticket, or one of a later
// generation, by the given time.
func sentBefore(subs []*submission, ticket string, at time.Time) bool {
	next, err := order.ParseTicket(ticket)
	return err == nil && slices.ContainsFunc(subs, func(o *submission) bool {
		return o.ticket.Generation >= next.Generation && !o.start.After(at)
	})
}

package gateway

import (
	"bytes"
	"time"

	"github.com/sardineturn/sardineturn/internal/minheap"
	"github.com/sardineturn/sardineturn/pkg/fanout"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// RecordBytes is the size of one record in an upstream's answer to a part of a query.
const RecordBytes = 16

// answer returns the answer to the caller for the verdict on the request.
func (r *requestRun) answer(verdict fanout.Verdict) Answer {
	switch {
	case r.callerLeft:
		return Answer{Code: result.CancelledWhileRun}
	case r.route.Gather != nil && (verdict == fanout.Complete || verdict == fanout.Partial):
		return r.mergedAnswer(verdict)
	case verdict == fanout.Complete:
		return Answer{Code: result.OK, Ran: model.Ran, Reply: r.replies[0]}
	case r.query.NotRun():
		return r.refusal()
	case verdict == fanout.Expired:
		return Answer{Code: result.NoAnswerInTime}
	case r.route.Gather != nil:
		return Answer{Code: result.CoverageTooLow}
	case r.lastReply != nil && r.lastReply.Status == fanout.Failed && r.lastReply.HTTPStatus != 0:
		return Answer{Code: result.UpstreamFailed, Ran: model.Ran, Reply: r.lastReply}
	default:
		return Answer{Code: result.OutcomeUnknown}
	}
}

// refusalCode returns the result code for a request that no upstream ran.
func (r *requestRun) refusalCode() result.Code {
	for i := range r.replies {
		if r.isEvacuatedPart(i) {
			return result.Evacuated
		}
		switch r.query.MissingReason(i) {
		case fanout.BudgetUsed:
			return result.RetryBudgetExhausted
		case fanout.AttemptsUsed:
			return result.UpstreamShed
		case fanout.Withheld:
			return result.IsolationPending
		}
	}
	if r.lastReply != nil {
		return result.ConnectFailed
	}
	return result.NoUpstream
}

// refusal returns the answer to a request that no upstream ran. If rate limits are the
// reason, the caller is told to return when they allow the request.
func (r *requestRun) refusal() Answer {
	now := r.now()
	var retryAt time.Time
	for i, name := range r.services {
		s := r.view.services[name]
		if s == nil {
			continue
		}
		reason := r.query.MissingReason(i)
		s.mu.Lock()
		// An attempt that found the share of a cold upstream used up leaves its part
		// without an upstream.
		if reason == fanout.RateLimited && s.balancer.RateLimited(now) || reason == fanout.NoUpstream && s.balancer.ColdLimited(now) {
			retryAt = later(retryAt, s.balancer.RetryAt(now))
		}
		s.mu.Unlock()
	}
	if code := r.refusalCode(); code == result.Evacuated {
		return newEvacuationRefusal()
	} else if retryAt.IsZero() {
		return newRefusal(code)
	}
	a := newRefusal(result.UpstreamRateLimited)
	a.RetryAfter = max(a.RetryAfter, retryAt.Sub(now))
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// mergedAnswer combines the upstreams' answers to the parts of a query over shards.
func (r *requestRun) mergedAnswer(verdict fanout.Verdict) Answer {
	m := &Merged{}
	var bodies [][]byte
	for _, reply := range r.replies {
		if reply == nil {
			m.MissingParts++
			continue
		}
		m.Signatures = append(m.Signatures, reply.Signature)
		bodies = append(bodies, reply.Body)
	}
	m.Body = TopRecords(bodies, r.route.Gather.TopK)
	code := result.OK
	if verdict == fanout.Partial {
		code = result.PartialAnswer
	}
	return Answer{Code: code, Ran: model.Ran, Merged: m}
}

// TopRecords returns the n greatest records of the bodies in descending order. It
// ignores an incomplete record at the end of a body. It keeps only n records at a time,
// because a list of all records took two fifths of the memory allocated by a query over
// 36 shards.
func TopRecords(bodies [][]byte, n int) []byte {
	greatest := minheap.New(func(a, b []byte) bool { return bytes.Compare(a, b) < 0 })
	for _, b := range bodies {
		for ; len(b) >= RecordBytes; b = b[RecordBytes:] {
			record := b[:RecordBytes]
			switch {
			case greatest.Len() < n:
				greatest.Push(record)
			case n > 0 && bytes.Compare(record, greatest.Min()) > 0:
				greatest.ReplaceMin(record)
			}
		}
	}
	out := make([]byte, greatest.Len()*RecordBytes)
	for at := len(out) - RecordBytes; at >= 0; at -= RecordBytes {
		copy(out[at:], greatest.Pop())
	}
	return out
}

package app

import (
	"sync"
	"time"
)

const (
	// balancerNoticeTime is the time that the platform's load balancer needs to detect
	// that a process is not ready: two health checks, one second apart.
	balancerNoticeTime = 2200 * time.Millisecond
	// stopMargin is the time between the last request that is accepted and the forced end
	// of the process.
	stopMargin = 700 * time.Millisecond
	// answerWriteTime is the time for writing the last answers, and closeTime that for
	// closing connections after them.
	answerWriteTime = 200 * time.Millisecond
	closeTime       = 100 * time.Millisecond
	// The shares bound these times if the stop time is short.
	stopMarginShare  = 0.25
	answerWriteShare = 0.1
	closeShare       = 0.05
)

// stopPlan holds the times of a graceful stop. It is safe for concurrent use.
type stopPlan struct {
	start time.Time

	mu       sync.Mutex
	stopTime time.Duration
}

// newStopPlan returns the plan of a stop that begins at start and is ended by force after
// stopTime.
func newStopPlan(start time.Time, stopTime time.Duration) *stopPlan {
	return &stopPlan{start: start, stopTime: stopTime}
}

// shorten reduces the stop time and reports whether it did. A longer one is ignored: who
// ends the process by force may still do so after the time that was in force at the start
// of the stop.
func (p *stopPlan) shorten(stopTime time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if stopTime >= p.stopTime {
		return false
	}
	p.stopTime = stopTime
	return true
}

// noticeUntil returns when the load balancer has noticed that the process is not ready.
// Until then requests are accepted even if none arrives for a while.
func (p *stopPlan) noticeUntil() time.Time {
	return earlier(p.start.Add(balancerNoticeTime), p.acceptUntil())
}

// answerBy returns when all requests in progress must have been answered. Later ones are
// refused.
func (p *stopPlan) answerBy() time.Time {
	return p.acceptUntil().Add(-min(answerWriteTime, share(p.stopTimeNow(), answerWriteShare)))
}

// acceptUntil returns until when requests are accepted.
func (p *stopPlan) acceptUntil() time.Time {
	stopTime := p.stopTimeNow()
	return p.start.Add(stopTime - min(stopMargin, share(stopTime, stopMarginShare)))
}

// closeBy returns when all connections of callers must have been closed.
func (p *stopPlan) closeBy() time.Time {
	return p.acceptUntil().Add(min(closeTime, share(p.stopTimeNow(), closeShare)))
}

func (p *stopPlan) stopTimeNow() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopTime
}

func share(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * fraction)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

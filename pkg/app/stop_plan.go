package app

import (
	"sync"
	"time"
)

const (
	// balancerNoticeTime is the time that the platform's load balancer needs to detect
	// that a process is not ready: two health checks, one second apart.
	balancerNoticeTime = 2200 * time.Millisecond
	// stopMargin is the time reserved between the end of the last request and the forced
	// end of the process, and stopMarginShare bounds it for short stop times.
	stopMargin      = 700 * time.Millisecond
	stopMarginShare = 0.25
	// answerWriteTime is the time for writing the last answers, and answerWriteShare bounds
	// it for short stop times.
	answerWriteTime  = 200 * time.Millisecond
	answerWriteShare = 0.1
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
	return earlier(p.start.Add(balancerNoticeTime), p.endBy())
}

// answerBy returns when all requests in progress must have been answered. Later ones are
// refused.
func (p *stopPlan) answerBy() time.Time {
	return p.endBy().Add(-min(answerWriteTime, share(p.stopTimeNow(), answerWriteShare)))
}

// endBy returns when the last answers must have been written and connections are closed.
func (p *stopPlan) endBy() time.Time {
	stopTime := p.stopTimeNow()
	return p.start.Add(stopTime - min(stopMargin, share(stopTime, stopMarginShare)))
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

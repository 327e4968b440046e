// Package workers runs functions on reused goroutines. A new goroutine for each call
// to an upstream would have to grow its stack again, which takes about a tenth of the
// processor time of a call.
package workers

import "time"

// idleTimeout is how long an idle goroutine waits for its next function before
// it ends.
const idleTimeout = 5 * time.Second

// Pool hands functions to idle goroutines and starts a new goroutine if none is
// idle.
type Pool struct{ work chan func() }

// New returns a pool without any goroutines.
func New() *Pool { return &Pool{work: make(chan func())} }

// Go runs f on a goroutine of the pool and returns at once.
func (p *Pool) Go(f func()) {
	select {
	case p.work <- f:
	default:
		go p.run(f)
	}
}

func (p *Pool) run(f func()) {
	timer := time.NewTimer(idleTimeout)
	defer timer.Stop()
	for {
		f()
		timer.Reset(idleTimeout)
		select {
		case f = <-p.work:
		case <-timer.C:
			return
		}
	}
}

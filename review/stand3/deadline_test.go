package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// requesterTimeout is the time budget of the requesters, and tolerance the time that
	// the rule adds to every deadline.
	requesterTimeout = 2500 * time.Millisecond
	tolerance        = 500 * time.Millisecond
	// muteShare is the share of their requests that grey leafs run without an answer.
	muteShare   = 0.6
	baseRate    = 45.0
	burstFactor = 2.6
)

// deadlineCase lets the leafs of a service leave a part of their requests unanswered
// during a burst, and compares the deadlines that leafs get with those of the requesters.
func deadlineCase(b *bench) (int, error) {
	l, err := listenLoopback()
	if err != nil {
		return cannotRun, err
	}
	s := newStore(l)
	var grey atomic.Bool
	ledger := &ledger{}
	for i := range 11 {
		var f *leaf
		busy := make(chan struct{}, 2)
		var queued atomic.Int64
		behave := func(w http.ResponseWriter, r *http.Request) (bool, bool) {
			if queued.Add(1) > 2+8 {
				queued.Add(-1)
				shed(w)
				return true, false
			}
			defer queued.Add(-1)
			if !grey.Load() || rand.Float64() >= muteShare {
				return false, false
			}
			busy <- struct{}{}
			time.Sleep(60 * time.Millisecond)
			<-busy
			queued.Add(-1)
			<-r.Context().Done()
			queued.Add(1)
			return true, true
		}
		f, err = startLeaf(fmt.Sprintf("i-workshop-%d", i), "workshop", zones[i%3], 2, 60*time.Millisecond, ledger, behave)
		if err != nil {
			return cannotRun, err
		}
		s.put("servers/"+f.id, f.entry("ready"))
	}
	s.put("op/config", map[string]any{
		"version":  7,
		"routes":   []any{map[string]any{"name": "r-workshop", "host": "workshop.example", "prefix": "/workshop/", "kind": "safe", "timeout_ms": 2500, "latency_target_ms": 500, "priority": 2, "service": "workshop", "max_attempts": 2}},
		"services": []any{map[string]any{"name": "workshop", "health_path": "/health", "max_conns": 36, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	fleet, err := newFleet(b.program, b.dir, s.address, 8, 56)
	if err != nil {
		return cannotRun, err
	}
	defer fleet.close()
	if err := fleet.start(); err != nil {
		return cannotRun, err
	}
	if !fleet.awaitReady(15 * time.Second) {
		return cannotRun, fmt.Errorf("the gateways were not ready in time")
	}
	// Machines are in touch 4 s after their start.
	time.Sleep(4 * time.Second)
	b.logf("8 gateways are ready and in touch")
	sent := &sentRequests{}
	begin := time.Now()
	if b.trouble {
		time.AfterFunc(3*time.Second, func() { grey.Store(true); b.logf("leafs begin to leave %.1f of their requests unanswered", muteShare) })
		time.AfterFunc(21*time.Second, func() { grey.Store(false); b.logf("leafs answer all requests again") })
	}
	var clients sync.WaitGroup
	n := 0
	for due := begin; due.Sub(begin) < 25*time.Second; n++ {
		rate := baseRate
		if t := due.Sub(begin).Seconds(); t >= 3 && t < 3+3*6.4 {
			rate *= burstFactor
		}
		due = due.Add(time.Duration(float64(time.Second) / rate))
		time.Sleep(time.Until(due))
		g := fleet.gateways[rand.IntN(len(fleet.gateways))]
		id := fmt.Sprintf("%08x%08x", rand.Uint32(), n)
		path := fmt.Sprintf("/workshop/%d", n)
		clients.Go(func() { sent.send(g.callerAddress(), "workshop.example", path, id, requesterTimeout) })
	}
	clients.Wait()
	time.Sleep(500 * time.Millisecond)
	return judgeDeadlines(b, sent.all(), ledger.all()), nil
}

// judgeDeadlines applies the rule BUDGET on deadlines as it is written.
func judgeDeadlines(b *bench, sent []sentRequest, arrivals []arrival) int {
	sort.Slice(sent, func(i, j int) bool { return sent[i].at.Before(sent[j].at) })
	sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].At.Before(arrivals[j].At) })
	sentAt, answers := make(map[string]time.Time), make(map[string]int)
	for _, r := range sent {
		b.logf("sent %s at %.3f answered %s", r.id, r.at.Sub(b.start).Seconds(), r.answer)
		sentAt[r.id] = r.at
		answers[r.answer]++
	}
	type end struct{ at, end time.Time }
	first := make(map[string]end)
	counted, lateRepeats, both := 0, 0, 0
	for _, a := range arrivals {
		ms, err := strconv.ParseFloat(a.Deadline, 64)
		e := end{a.At, a.At.Add(time.Duration(ms * float64(time.Millisecond)))}
		f, repeat := first[a.ID]
		if !repeat {
			first[a.ID] = e
		}
		late := repeat && a.At.Sub(f.at) > tolerance
		own := sentAt[a.ID].Add(requesterTimeout)
		tooLong := err != nil || time.Duration(ms*float64(time.Millisecond)) > requesterTimeout+tolerance ||
			late && e.end.After(f.end.Add(tolerance)) && e.end.After(own.Add(tolerance))
		if late {
			lateRepeats++
		}
		if tooLong {
			counted++
		}
		if late || tooLong {
			both++
		}
		b.logf("arrival %s at %.3f leaf %s ran %v deadline %s ms, left %.0f ms, repeat %v late %v too long %v", a.ID, a.At.Sub(b.start).Seconds(), a.Leaf, a.Ran, a.Deadline, own.Sub(a.At).Seconds()*1000, repeat, late, tooLong)
	}
	text := fmt.Sprintf("%d arrivals with more time than is left; %d repeats sent over 0.5 s later; allowed: 20, or a fifth of %d", counted, lateRepeats, both)
	b.logf("answers: %v", answers)
	b.logf("%s", text)
	fmt.Println(text, answers)
	if counted > 20 && float64(counted) > float64(both)/5 {
		return broken
	}
	return held
}

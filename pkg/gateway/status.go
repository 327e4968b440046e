package gateway

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/admission"
	"github.com/sardineturn/sardineturn/pkg/balancer"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// Status is the state of a gateway as the operator interface returns it.
type Status struct {
	Ready         bool               `json:"ready"`
	Reason        string             `json:"reason,omitempty"`
	Reader        bool               `json:"reader"`
	Members       []model.InstanceID `json:"members"`
	ConfigVersion uint64             `json:"config_version"`
	// Era and Revision are the position of the copy of the platform's keys.
	Era       uint64 `json:"era"`
	Revision  uint64 `json:"revision"`
	AgeMS     int64  `json:"age_ms"`
	Upstreams int    `json:"upstreams"`
	Active    int    `json:"active"`
	// Evacuated lists the data centres whose upstreams get no requests.
	Evacuated []model.DataCentre `json:"evacuated,omitempty"`
	// Limited lists the routes whose requests are limited because of overloaded upstreams.
	Limited    []admission.RouteStatus `json:"limited,omitempty"`
	BodyMemory *BodyMemoryStatus       `json:"body_memory,omitempty"`
	// Cold is the number of upstreams whose limit for cold upstreams applies.
	Cold int `json:"cold"`
}

// Status implements operatorhttp.Inspector.
func (g *Gateway) Status() any {
	s := Status{Active: g.ActiveRequests(), Cold: int(g.coldUpstreams.Load()), Limited: g.admissionStatus(), BodyMemory: g.bodyMemoryStatus()}
	s.Ready, s.Reason = g.Ready()
	g.fleet.Lock()
	s.Reader = g.fleet.isReader
	for _, m := range g.fleet.membership.Members() {
		s.Members = append(s.Members, m.ID)
	}
	g.fleet.Unlock()
	p := &g.published
	p.Lock()
	defer p.Unlock()
	at := p.replica.Position()
	s.Era, s.Revision, s.Upstreams = at.Era, at.Revision, p.directory.Len()
	s.Evacuated = p.directory.Evacuated()
	s.AgeMS = g.ports.Clock.Now().Sub(p.confirmedAt).Milliseconds()
	if p.table != nil {
		s.ConfigVersion = p.table.Version
	}
	return s
}

// Explanation is the state of a service as one gateway sees it, returned by the
// operator interface.
type Explanation struct {
	Service string `json:"service"`
	// ExtraAttempts is the number of retries and hedges that the retry budget allows
	// now.
	ExtraAttempts float64               `json:"extra"`
	Upstreams     []UpstreamExplanation `json:"upstreams"`
}

// UpstreamExplanation holds the load on an upstream from one gateway, and that gateway's
// estimates of the upstream.
type UpstreamExplanation struct {
	ID            string  `json:"id"`
	DataCentre    string  `json:"data_centre"`
	InFlight      int     `json:"in_flight"`
	LatencyFactor float64 `json:"latency_factor"`
	FailureRate   float64 `json:"failure_rate"`
	BlockedMS     int64   `json:"blocked_ms,omitempty"`
	// Evacuated is true if the upstream gets no requests because its data centre is
	// evacuated.
	Evacuated bool `json:"evacuated,omitempty"`
	// ColdMS is how much longer the upstream counts as cold, and ColdPerSecond how many
	// requests this instance may send to it in a second meanwhile. Both are absent if the
	// upstream is not cold or its service has no limit for cold upstreams.
	ColdMS        int64    `json:"cold_ms,omitempty"`
	ColdPerSecond *float64 `json:"cold_rate,omitempty"`
}

// Explain implements operatorhttp.Inspector. It ignores the priority and the shard,
// because a gateway does not choose upstreams by them.
func (g *Gateway) Explain(name, _, _ string) (any, error) {
	v := g.view.Load()
	if v == nil || v.services[name] == nil {
		return nil, result.Errorf(result.UnknownService, "there is no service %q", name)
	}
	now := g.ports.Clock.Now()
	s := v.services[name]
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Explanation{Service: name, ExtraAttempts: s.budget.Available(now)}
	for _, u := range s.balancer.Upstreams() {
		out.Upstreams = append(out.Upstreams, explainUpstream(now, u))
	}
	for _, u := range s.balancer.Withheld() {
		e := explainUpstream(now, u)
		e.Evacuated = true
		out.Upstreams = append(out.Upstreams, e)
	}
	return out, nil
}

func explainUpstream(now time.Time, u *balancer.Upstream) UpstreamExplanation {
	latencyFactor, failureRate := u.DecayedEstimates(now)
	e := UpstreamExplanation{ID: u.ID, DataCentre: string(u.DataCentre), InFlight: u.InFlight(), LatencyFactor: latencyFactor, FailureRate: failureRate}
	if u.Blocked(now) {
		e.BlockedMS = u.BlockedFor(now).Round(time.Millisecond).Milliseconds()
	}
	if limit := u.ColdLimit(now); limit != nil {
		rate := limit.Rate()
		e.ColdMS, e.ColdPerSecond = u.ColdUntil.Sub(now).Milliseconds(), &rate
	}
	return e
}

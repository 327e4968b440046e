package routing

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func newTable(routes ...Route) *Table { return NewTable(Config{Version: 1, Routes: routes}) }

// TestMatch guards against requests that get the route of another host, or a route
// although another one has a longer matching prefix.
func TestMatch(t *testing.T) {
	table := newTable(
		Route{Name: "short", Host: "a.example", Prefix: "/x/"},
		Route{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		Route{Name: "other", Host: "b.example", Prefix: "/x/"},
	)
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.Example:8080", "/x/y/", "long"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/x", ""},
		{"a.example", "/xy/", ""},
		{"c.example", "/x/1", ""},
	} {
		got := ""
		if r := table.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		must.Eq(t, c.want, got, must.Sprint(c.host, c.path))
	}
}

// TestMinParts guards against answers with fewer shards than MinShare demands, and
// against requiring more shards than it demands.
func TestMinParts(t *testing.T) {
	for _, c := range []struct {
		shards int
		share  float64
		want   int
	}{{10, 0.89, 9}, {15, 0.89, 14}, {10, 0.75, 8}, {36, 0.95, 35}, {3, 0, 1}, {4, 1, 4}, {1, 0.5, 1}} {
		g := Gather{Services: make([]string, c.shards), MinShare: c.share}
		must.Eq(t, c.want, g.MinParts(), must.Sprint(c.shards, c.share))
	}
}

// TestChooseServiceFollowsWeights guards against targets that get another share of
// the requests than their weight gives them, and against a target of weight 0 that
// gets requests.
func TestChooseServiceFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(0, 10), 1, 5).Draw(t, "weights")
		r := Route{}
		total := 0.0
		for i, w := range weights {
			r.Targets = append(r.Targets, Target{Service: string(rune('a' + i)), Weight: w})
			total += w
		}
		const draws = 2000
		got := make(map[string]float64)
		for i := range draws {
			service, ok := r.ChooseService(float64(i) / draws)
			must.Eq(t, total > 0, ok)
			got[service] += 1.0 / draws
		}
		if total == 0 {
			return
		}
		for _, target := range r.Targets {
			must.InDelta(t, target.Weight/total, got[target.Service], 0.01)
		}
	})
}

// TestUrgentNeedsLonger guards against load shedding in deployments whose order of arrival
// already favours urgent queries, and against missing it where it does not.
func TestUrgentNeedsLonger(t *testing.T) {
	query := func(priority int, target time.Duration, services ...string) Route {
		return Route{Priority: priority, LatencyTarget: target, Gather: &Gather{Services: services}}
	}
	for name, c := range map[string]struct {
		routes []Route
		want   bool
	}{
		"none":                             {nil, false},
		"urgent is shorter":                {[]Route{query(0, 50, "a", "b"), query(1, 150, "a", "b")}, false},
		"urgent is longer":                 {[]Route{query(2, 60, "a", "b"), query(1, 200, "b")}, true},
		"urgent is longer on other shards": {[]Route{query(2, 60, "a"), query(1, 200, "b")}, false},
		"same priority":                    {[]Route{query(1, 60, "a"), query(1, 200, "a")}, false},
		"less urgent request to one shard": {[]Route{{Priority: 2, LatencyTarget: 60, Targets: []Target{{Service: "a"}}}, query(1, 200, "a")}, false},
		"one of several less urgent ones":  {[]Route{query(2, 300, "a"), query(2, 60, "a"), query(1, 200, "a")}, true},
	} {
		must.Eq(t, c.want, NewTable(Config{Routes: c.routes}).UrgentNeedsLonger(), must.Sprint(name))
	}
}

package launch

import (
	"fmt"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/standin/upstream"
)

var dataCentres = []model.DataCentre{"dc1", "dc2", "dc3"}

// ShevitsaPriorities returns the priorities of customer Shevitsa, the most urgent
// first.
func ShevitsaPriorities() []document.Priority {
	return []document.Priority{
		{Name: "counter", TargetMS: 150, DeadlineMS: 400, LeastCoverage: 0.8, GuaranteedShare: 0.5, Worth: 10},
		{Name: "fitting", TargetMS: 300, DeadlineMS: 800, LeastCoverage: 1, GuaranteedShare: 0.3, Worth: 6},
		{Name: "archive", TargetMS: 2000, DeadlineMS: 5000, LeastCoverage: 0.5, GuaranteedShare: 0.2, Worth: 1},
	}
}

// ScalaiPriorities returns the priorities of customer Scalai, the most urgent first.
func ScalaiPriorities() []document.Priority {
	return []document.Priority{
		{Name: "dealer", TargetMS: 150, DeadlineMS: 400, LeastCoverage: 0.8, GuaranteedShare: 0.5, Worth: 10},
		{Name: "stock", TargetMS: 300, DeadlineMS: 800, LeastCoverage: 1, GuaranteedShare: 0.3, Worth: 5},
		{Name: "workshop", TargetMS: 2000, DeadlineMS: 5000, LeastCoverage: 0.5, GuaranteedShare: 0.2, Worth: 1},
	}
}

// sizeRow is a row of the size table in docs/design.md: a number of services of
// equal size.
type sizeRow struct {
	name     string
	services int
	// upstreams is the number of upstreams of each service; slots and
	// connectionLimit are those of each upstream.
	upstreams       int
	slots           int
	connectionLimit int
	// connectMS is the time that a new connection to an upstream takes.
	connectMS float64
}

var shevitsaSizes = []sizeRow{
	{"fitting-desk", 10, 3, 3, 30, 6},
	{"invoice-book", 15, 3, 3, 30, 6},
	{"restore-log", 1, 7, 6, 110, 1},
	{"courier-plan", 1, 3, 6, 110, 1},
}

var scalaiSizes = []sizeRow{
	{"sportello", 10, 3, 2, 25, 6},
	{"prezzario", 15, 3, 2, 25, 6},
	{"officina", 1, 11, 2, 35, 1},
	{"consegne", 1, 5, 2, 35, 1},
}

// Shevitsa returns the services of customer Shevitsa at their current size.
func Shevitsa() []Service { return buildServices(shevitsaSizes, ShevitsaPriorities()) }

// Scalai returns the services of customer Scalai at their current size.
func Scalai() []Service { return buildServices(scalaiSizes, ScalaiPriorities()) }

func buildServices(sizes []sizeRow, priorities []document.Priority) []Service {
	var out []Service
	for _, r := range sizes {
		for i := range r.services {
			out = append(out, r.buildService(fmt.Sprintf("%s-%d", r.name, i+1), priorities))
		}
	}
	return out
}

// shardsPerUpstream is the number of shards of a service divided by the number of its
// upstreams. It is above 1, so that a query of all shards sends several shard requests
// to each upstream.
const shardsPerUpstream = 4

func (r sizeRow) buildService(name string, priorities []document.Priority) Service {
	return Service{
		Name:            name,
		Priorities:      priorities,
		Upstreams:       r.upstreams,
		Slots:           r.slots,
		ConnectionLimit: r.connectionLimit,
		ConnectMS:       r.connectMS,
		Shards:          r.upstreams * shardsPerUpstream,
		Replicas:        2,
		DataCentres:     dataCentres,
		ServiceTimes:    map[string]upstream.ServiceTime{"": {MedianMS: 5, Sigma: 0.4}},
	}
}

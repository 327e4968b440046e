package launch

import (
	"fmt"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/standin/upstream"
)

var dataCentres = []model.DataCentre{"dc1", "dc2", "dc3"}

// ShevitsaPriorities are the priorities of customer Shevitsa.
func ShevitsaPriorities() []document.Priority {
	return []document.Priority{
		{Name: "counter", TargetMS: 150, DeadlineMS: 400, LeastCoverage: 0.8, GuaranteedShare: 0.5, Worth: 10},
		{Name: "fitting", TargetMS: 300, DeadlineMS: 800, LeastCoverage: 1, GuaranteedShare: 0.3, Worth: 6},
		{Name: "archive", TargetMS: 2000, DeadlineMS: 5000, LeastCoverage: 0.5, GuaranteedShare: 0.2, Worth: 1},
	}
}

// ScalaiPriorities are the priorities of customer Scalai.
func ScalaiPriorities() []document.Priority {
	return []document.Priority{
		{Name: "dealer", TargetMS: 150, DeadlineMS: 400, LeastCoverage: 0.8, GuaranteedShare: 0.5, Worth: 10},
		{Name: "stock", TargetMS: 300, DeadlineMS: 800, LeastCoverage: 1, GuaranteedShare: 0.3, Worth: 5},
		{Name: "workshop", TargetMS: 2000, DeadlineMS: 5000, LeastCoverage: 0.5, GuaranteedShare: 0.2, Worth: 1},
	}
}

// kind is a row of the size table in docs/design.md.
type kind struct {
	name            string
	services        int
	upstreams       int
	slots           int
	connectionLimit int
	connectMS       float64
}

var shevitsaKinds = []kind{
	{"fitting-desk", 10, 3, 3, 30, 6},
	{"invoice-book", 15, 3, 3, 30, 6},
	{"restore-log", 1, 7, 6, 110, 1},
	{"courier-plan", 1, 3, 6, 110, 1},
}

var scalaiKinds = []kind{
	{"sportello", 10, 3, 2, 25, 6},
	{"prezzario", 15, 3, 2, 25, 6},
	{"officina", 1, 11, 2, 35, 1},
	{"consegne", 1, 5, 2, 35, 1},
}

// Shevitsa returns the services of customer Shevitsa at their current size.
func Shevitsa() []Service { return services(shevitsaKinds, ShevitsaPriorities()) }

// Scalai returns the services of customer Scalai at their current size.
func Scalai() []Service { return services(scalaiKinds, ScalaiPriorities()) }

func services(kinds []kind, priorities []document.Priority) []Service {
	var out []Service
	for _, k := range kinds {
		for i := range k.services {
			out = append(out, k.service(fmt.Sprintf("%s-%d", k.name, i+1), priorities))
		}
	}
	return out
}

// shardsPerUpstream makes a query touch each upstream several times.
const shardsPerUpstream = 4

func (k kind) service(name string, priorities []document.Priority) Service {
	return Service{
		Name:            name,
		Priorities:      priorities,
		Upstreams:       k.upstreams,
		Slots:           k.slots,
		ConnectionLimit: k.connectionLimit,
		ConnectMS:       k.connectMS,
		Shards:          k.upstreams * shardsPerUpstream,
		Replicas:        2,
		DataCentres:     dataCentres,
		ServiceTimes:         map[string]upstream.ServiceTime{"": {MedianMS: 5, Sigma: 0.4}},
	}
}

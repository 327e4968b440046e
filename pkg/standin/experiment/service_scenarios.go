package experiment

import (
	"github.com/sardineturn/sardineturn/pkg/standin/launch"
	"github.com/sardineturn/sardineturn/pkg/standin/load"
)

// Indexes of services in the customer's list: the first service of each of the two
// kinds that have many services, the service with the most upstreams, and the last
// service.
const (
	firstService         = 0
	secondKindService    = 10
	mostUpstreamsService = 25
	lastService          = 26
)

const (
	// crashMark is the text in a payload that crashes a stand-in upstream by default.
	crashMark          = "crash-upstream"
	crashingStreamName = "crashing"
	// crashingPerSecond is the rate at which the crashing request is sent.
	crashingPerSecond = 2
	crashingMS        = 10000
	// crashingShards is the number of shards that the crashing request queries. No
	// upstream holds two of them, so the request's first attempts run on crashingShards
	// different upstreams.
	crashingShards = 3
)

// crashingScenario sends the same crashing request repeatedly, through all instances
// in turn. Upstreams accept connections again 2 s after a crash, so without a quarantine
// of the request, each send would crash upstreams again.
func crashingScenario() scenario {
	return scenario{
		name:                 "crashing-request",
		faultLoad:            steadyLoad,
		lengthMS:             crashingMS,
		sendsCrashingRequest: true,
		services:             []int{mostUpstreamsService},
		aims: []aim{
			violationsAim(),
			{text: "crashes by one request of 3 shards that is sent again for 10 s", limit: crashingShards + 1, measure: func(o *outcome) float64 {
				return float64(o.crashes)
			}},
		},
	}
}

// crashingStream returns the stream that sends one crashing request repeatedly. Its
// rate is zero outside the fault phase.
func crashingStream(s launch.Service) load.Stream {
	p := s.Priorities[1]
	out := load.Stream{
		Name:             crashingStreamName,
		Service:          s.Name,
		Operation:        launch.OperationSearch,
		Priority:         p.Name,
		DeadlineMS:       p.DeadlineMS,
		TargetMS:         p.TargetMS,
		DistinctPayloads: 1,
		Mark:             crashMark,
	}
	// Shard n is on the upstreams n to n+Replicas-1.
	for n := range crashingShards {
		out.Shards = append(out.Shards, string(s.ShardIDs()[n*s.Replicas]))
	}
	return out
}

// servicesScenario floods one of three services that share the instances.
func servicesScenario() scenario {
	s := scenario{
		name:      "three-services",
		faultLoad: steadyLoad,
		services:  []int{firstService, secondKindService, lastService},
		aims: []aim{
			{text: "lowest share within target of a priority of the two services without the flood", limit: 0.99, atLeast: true, measure: (*outcome).lowestOtherOnTargetShare},
		},
	}
	s.faultLoad[len(s.faultLoad)-1] = floodFactor
	return s
}

// lowestOtherOnTargetShare returns, for the fault phase, the lowest OnTargetShare among
// the priorities of all services except the first.
func (o *outcome) lowestOtherOnTargetShare() float64 {
	lowest := 1.0
	for _, s := range o.phase(phaseFault).Streams {
		if s.Service != o.service.Name {
			lowest = min(lowest, s.OnTargetShare)
		}
	}
	return lowest
}

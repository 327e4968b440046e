package load

import "github.com/sardineturn/sardineturn/pkg/standin/launch"

// Targets returns the listeners' addresses of a fleet's instances.
func Targets(f *launch.Fleet) []Target {
	var out []Target
	for _, i := range f.Instances() {
		out = append(out, Target{Caller: i.Settings.CallerAddress, Operator: i.Settings.OperatorAddress})
	}
	return out
}

// UpstreamAdmins returns the addresses of the admin listeners of a fleet's stand-in
// upstreams.
func UpstreamAdmins(f *launch.Fleet) []string {
	var out []string
	for _, h := range f.Hosts() {
		out = append(out, h.Admin)
	}
	return out
}

// QueryStreams returns a stream of queries for each share. The n-th stream has the
// service's n-th priority, of which the first is the most urgent. Its rate is the n-th
// share multiplied by the service's capacity.
func QueryStreams(s launch.Service, shares ...float64) []Stream {
	var out []Stream
	for i, share := range shares {
		p := s.Priorities[i]
		out = append(out, Stream{
			Service:    s.Name,
			Operation:  launch.OperationSearch,
			Priority:   p.Name,
			Callers:    callersPerStream,
			Rate:       share * s.Capacity(),
			DeadlineMS: p.DeadlineMS,
			TargetMS:   p.TargetMS,
		})
	}
	return out
}

// callersPerStream is the number of different callers in a stream of queries.
const callersPerStream = 4

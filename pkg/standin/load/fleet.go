package load

import "github.com/sardineturn/sardineturn/pkg/standin/launch"

// Targets returns the addresses of a fleet's instances.
func Targets(f *launch.Fleet) []Target {
	var out []Target
	for _, i := range f.Instances() {
		out = append(out, Target{Caller: i.Settings.CallerAddress, Operator: i.Settings.OperatorAddress})
	}
	return out
}

// Admins returns the admin addresses of a fleet's upstreams.
func UpstreamAdmins(f *launch.Fleet) []string {
	var out []string
	for _, h := range f.Hosts() {
		out = append(out, h.Admin)
	}
	return out
}

// Queries returns a stream of queries for each priority of the service, with
// the given shares of its capacity, the most urgent first.
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

const callersPerStream = 4

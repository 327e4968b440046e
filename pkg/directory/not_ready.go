package directory

import "slices"

// NotReady returns the listed upstreams of each service that are not ready, ordered by id.
func (d *Directory) NotReady() map[string][]Upstream {
	out := make(map[string][]Upstream)
	for _, u := range d.upstreams {
		if u.State != Ready {
			out[u.Service] = append(out[u.Service], u)
		}
	}
	for _, list := range out {
		slices.SortFunc(list, compareIDs)
	}
	return out
}

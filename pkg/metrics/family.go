package metrics

import (
	"sync"

	tally "github.com/uber-go/tally/v4"
)

const (
	// maxSeries limits the series of one metric, and with them the memory for
	// tag values that come from documents.
	maxSeries = 1024
	// overflowTagValue is the value of every tag in the series that collects
	// what exceeds maxSeries.
	overflowTagValue = "other"
	// emptyTagValue replaces an empty tag value.
	emptyTagValue = "none"
	// maxTags is the largest number of tags that a metric can have.
	maxTags = 2
)

type tagValues [maxTags]string

// family holds the series of one metric, one per combination of tag values. It
// caches the series, because building a tagged scope on every call costs
// several allocations.
type family[M any] struct {
	scope     tally.Scope
	name      string
	tags      []string
	newSeries func(tally.Scope, string) M

	mu     sync.RWMutex
	series map[tagValues]M
}

func newFamily[M any](scope tally.Scope, name string, create func(tally.Scope, string) M, tags ...string) *family[M] {
	return &family[M]{scope: scope, name: name, tags: tags, newSeries: create, series: make(map[tagValues]M)}
}

// seriesFor returns the series with the given tag values, which are in the order of
// the tags.
func (f *family[M]) seriesFor(values ...string) M {
	var key tagValues
	for i, v := range values {
		if v == "" {
			v = emptyTagValue
		}
		key[i] = v
	}
	f.mu.RLock()
	m, ok := f.series[key]
	f.mu.RUnlock()
	if ok {
		return m
	}
	return f.add(key)
}

func (f *family[M]) add(key tagValues) M {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.series) >= maxSeries {
		key = tagValues{}
		for i := range f.tags {
			key[i] = overflowTagValue
		}
	}
	if m, ok := f.series[key]; ok {
		return m
	}
	tags := make(map[string]string, len(f.tags))
	for i, t := range f.tags {
		tags[t] = key[i]
	}
	m := f.newSeries(f.scope.Tagged(tags), f.name)
	f.series[key] = m
	return m
}

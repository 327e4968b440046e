package platform

import (
	"encoding/json"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/sardineturn/sardineturn/pkg/document"
)

// maxAnswerBytes bounds the size of the documents in one answer, as docs/interfaces.md
// describes. The reader gets the remaining documents with its next read.
const maxAnswerBytes = 4 << 20

// Document is a document in the answer of GET /v1/documents.
type Document struct {
	Service string `json:"service"`
	Version uint64 `json:"version"`
	Content string `json:"content"`
}

// Documents is the answer of GET /v1/documents.
type Documents struct {
	Version   uint64     `json:"version"`
	Documents []Document `json:"documents"`
}

// store holds all writes of documents in order, so that reads can also see an older
// state. The number of writes is the platform's version.
type store struct {
	mu     sync.Mutex
	writes []Document
	// frozenVersion is the version that reads see while frozen is set.
	frozenVersion uint64
	frozen        bool
	// changed is closed and replaced at each change of what reads see.
	changed chan struct{}
}

func newStore() *store { return &store{changed: make(chan struct{})} }

// write adds a document and returns the platform's new version. Without force, the
// document must be valid JSON, not larger than document.MaxBytes, and have a higher
// revision than all earlier documents of its service. A document without a service is
// rejected even with force.
func (s *store) write(content []byte, force bool) (uint64, error) {
	header := struct {
		Service  string `json:"service"`
		Revision uint64 `json:"revision"`
	}{}
	if err := json.Unmarshal(content, &header); err != nil && !force {
		return 0, err
	}
	if header.Service == "" {
		return 0, fmt.Errorf("document has no service")
	}
	if len(content) > document.MaxBytes && !force {
		return 0, fmt.Errorf("document has %d bytes, above %d", len(content), document.MaxBytes)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if highest := s.highestRevision(header.Service); !force && highest >= header.Revision {
		return 0, fmt.Errorf("revision %d is not above %d", header.Revision, highest)
	}
	s.writes = append(s.writes, Document{
		Service: header.Service,
		Version: uint64(len(s.writes)) + 1,
		Content: string(content),
	})
	s.notify()
	return uint64(len(s.writes)), nil
}

// highestRevision returns the highest revision of the service's documents, including
// documents written with force. s.mu must be held.
func (s *store) highestRevision(service string) uint64 {
	var highest uint64
	for _, w := range s.writes {
		if w.Service != service {
			continue
		}
		header := struct {
			Revision uint64 `json:"revision"`
		}{}
		_ = json.Unmarshal([]byte(w.Content), &header)
		highest = max(highest, header.Revision)
	}
	return highest
}

// notify wakes the reads that wait for a change. s.mu must be held.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// visibleVersion returns the version that reads see. s.mu must be held.
func (s *store) visibleVersion() uint64 {
	if s.frozen {
		return min(s.frozenVersion, uint64(len(s.writes)))
	}
	return uint64(len(s.writes))
}

// freeze makes reads see the given version, which may be an older one, until
// unfreeze is called. A nil version means the present one, or, if the store is frozen
// already, leaves the version as it is.
func (s *store) freeze(version *uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version != nil {
		s.frozenVersion, s.frozen = *version, true
	} else if !s.frozen {
		s.frozenVersion, s.frozen = uint64(len(s.writes)), true
	}
	s.notify()
}

// unfreeze makes reads see the newest version again.
func (s *store) unfreeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = false
	s.notify()
}

// read returns the first page of the documents written after version since, each with
// its newest content, and a channel that is closed at the next change. If since is
// above the visible version, the pages start with the oldest write, because the
// platform has gone back to an older state.
func (s *store) read(since uint64) (Documents, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	version := s.visibleVersion()
	if since > version {
		since = 0
	}
	newest := make(map[string]Document)
	for _, w := range s.writes[since:version] {
		newest[w.Service] = w
	}
	out := Documents{Version: version, Documents: make([]Document, 0, len(newest))}
	for _, d := range newest {
		out.Documents = append(out.Documents, d)
	}
	sort.Slice(out.Documents, func(i, j int) bool { return out.Documents[i].Version < out.Documents[j].Version })
	return out.firstPage(), s.changed
}

// firstPage returns the first documents whose contents together are at most
// maxAnswerBytes long, and at least one document if there is any. If it leaves out
// documents, it sets the version to the version of the last returned document, so that
// the next read continues after that document.
func (d Documents) firstPage() Documents {
	size := 0
	for i := range d.Documents {
		size += len(d.Documents[i].Content)
		if size > maxAnswerBytes && i > 0 {
			return Documents{Version: d.Documents[i-1].Version, Documents: d.Documents[:i]}
		}
	}
	return d
}

// Instance is an entry of the instance list.
type Instance struct {
	ID             string `json:"id"`
	ControlAddress string `json:"control_address"`
	DataCentre     string `json:"data_centre"`
	Leaving        bool   `json:"leaving"`
}

// Upstream is an entry of the upstream list.
type Upstream struct {
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// Instances is the answer of GET /v1/instances.
type Instances struct {
	Instances []Instance `json:"instances"`
	Upstreams []Upstream `json:"upstreams"`
}

// registry holds the lists of instances and upstreams. A change becomes visible after
// the lag that was set when the change was made.
type registry struct {
	mu  sync.Mutex
	lag time.Duration
	// pending holds the changes that are not visible yet, in the order in which they
	// were made.
	pending []change
	// instances and upstreams are the visible entries, by id and by address.
	instances map[string]Instance
	upstreams map[string]Upstream
}

// change is a change of a list that becomes visible at the time due.
type change struct {
	due   time.Time
	apply func()
}

func newRegistry(lag time.Duration) *registry {
	return &registry{lag: lag, instances: make(map[string]Instance), upstreams: make(map[string]Upstream)}
}

func (r *registry) setLag(lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lag = lag
}

// applyAfterLag records a change that becomes visible after the present lag.
func (r *registry) applyAfterLag(now time.Time, apply func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = append(r.pending, change{due: now.Add(r.lag), apply: apply})
}

func (r *registry) setInstance(now time.Time, i Instance) {
	r.applyAfterLag(now, func() { r.instances[i.ID] = i })
}

func (r *registry) removeInstance(now time.Time, id string) {
	r.applyAfterLag(now, func() { delete(r.instances, id) })
}

func (r *registry) setUpstream(now time.Time, u Upstream) {
	r.applyAfterLag(now, func() { r.upstreams[u.Address] = u })
}

func (r *registry) removeUpstream(now time.Time, address string) {
	r.applyAfterLag(now, func() { delete(r.upstreams, address) })
}

// list applies the changes that are due at the given time and returns the visible
// entries, sorted by id and by address.
func (r *registry) list(now time.Time) Instances {
	r.mu.Lock()
	defer r.mu.Unlock()
	var notDue []change
	for _, c := range r.pending {
		if c.due.After(now) {
			notDue = append(notDue, c)
			continue
		}
		c.apply()
	}
	r.pending = notDue
	out := Instances{Instances: []Instance{}, Upstreams: []Upstream{}}
	for _, i := range r.instances {
		out.Instances = append(out.Instances, i)
	}
	for _, u := range r.upstreams {
		out.Upstreams = append(out.Upstreams, u)
	}
	sort.Slice(out.Instances, func(i, j int) bool { return out.Instances[i].ID < out.Instances[j].ID })
	sort.Slice(out.Upstreams, func(i, j int) bool { return out.Upstreams[i].Address < out.Upstreams[j].Address })
	return out
}

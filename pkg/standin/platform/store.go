package platform

import (
	"encoding/json"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/sardineturn/sardineturn/pkg/document"
)

// maxAnswerBytes ends a document list early, as docs/interfaces.md describes.
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

// store holds every write, so that a read can be served from an older state.
type store struct {
	mu     sync.Mutex
	writes []Document
	// view is the version that reads see when frozen is set.
	view    uint64
	frozen  bool
	changed chan struct{}
}

func newStore() *store { return &store{changed: make(chan struct{})} }

// write adds a document. Without force, its revision must be higher than the
// one that the platform holds.
func (s *store) write(content []byte, force bool) (uint64, error) {
	head := struct {
		Service  string `json:"service"`
		Revision uint64 `json:"revision"`
	}{}
	if err := json.Unmarshal(content, &head); err != nil && !force {
		return 0, err
	}
	if head.Service == "" {
		return 0, fmt.Errorf("document has no service")
	}
	if len(content) > document.MaxBytes && !force {
		return 0, fmt.Errorf("document has %d bytes, above %d", len(content), document.MaxBytes)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if held := s.revision(head.Service); !force && held >= head.Revision {
		return 0, fmt.Errorf("revision %d is not above %d", head.Revision, held)
	}
	s.writes = append(s.writes, Document{
		Service: head.Service,
		Version: uint64(len(s.writes)) + 1,
		Content: string(content),
	})
	s.notify()
	return uint64(len(s.writes)), nil
}

// revision returns the highest revision written. The caller holds the lock.
func (s *store) revision(service string) uint64 {
	var highest uint64
	for _, w := range s.writes {
		if w.Service != service {
			continue
		}
		head := struct {
			Revision uint64 `json:"revision"`
		}{}
		_ = json.Unmarshal([]byte(w.Content), &head)
		highest = max(highest, head.Revision)
	}
	return highest
}

// notify wakes waiting watches. The caller holds the lock.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// version returns the version that reads see. The caller holds the lock.
func (s *store) version() uint64 {
	if s.frozen {
		return min(s.view, uint64(len(s.writes)))
	}
	return uint64(len(s.writes))
}

// freeze makes reads see the given version, which may be an older one, until
// thaw. A nil version is the present one.
func (s *store) freeze(version *uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version != nil {
		s.view, s.frozen = *version, true
	} else if !s.frozen {
		s.view, s.frozen = uint64(len(s.writes)), true
	}
	s.notify()
}

func (s *store) thaw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = false
	s.notify()
}

// read returns the newest content of each document written after since, and
// a channel that is closed by the next change.
func (s *store) read(since uint64) (Documents, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	version := s.version()
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
	return out.truncated(), s.changed
}

func (d Documents) truncated() Documents {
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

// registry is the instance list. A change becomes visible after the lag that
// is in force when it is made.
type registry struct {
	mu      sync.Mutex
	lag     time.Duration
	changes []change
	visible map[string]Instance
	ups     map[string]Upstream
}

type change struct {
	due   time.Time
	apply func()
}

func newRegistry(lag time.Duration) *registry {
	return &registry{lag: lag, visible: make(map[string]Instance), ups: make(map[string]Upstream)}
}

func (r *registry) setLag(lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lag = lag
}

func (r *registry) later(now time.Time, apply func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes = append(r.changes, change{due: now.Add(r.lag), apply: apply})
}

func (r *registry) setInstance(now time.Time, i Instance) {
	r.later(now, func() { r.visible[i.ID] = i })
}

func (r *registry) removeInstance(now time.Time, id string) {
	r.later(now, func() { delete(r.visible, id) })
}

func (r *registry) setUpstream(now time.Time, u Upstream) {
	r.later(now, func() { r.ups[u.Address] = u })
}

func (r *registry) removeUpstream(now time.Time, address string) {
	r.later(now, func() { delete(r.ups, address) })
}

// list returns what is visible at the given time.
func (r *registry) list(now time.Time) Instances {
	r.mu.Lock()
	defer r.mu.Unlock()
	var pending []change
	for _, c := range r.changes {
		if c.due.After(now) {
			pending = append(pending, c)
			continue
		}
		c.apply()
	}
	r.changes = pending
	out := Instances{Instances: []Instance{}, Upstreams: []Upstream{}}
	for _, i := range r.visible {
		out.Instances = append(out.Instances, i)
	}
	for _, u := range r.ups {
		out.Upstreams = append(out.Upstreams, u)
	}
	sort.Slice(out.Instances, func(i, j int) bool { return out.Instances[i].ID < out.Instances[j].ID })
	sort.Slice(out.Upstreams, func(i, j int) bool { return out.Upstreams[i].Address < out.Upstreams[j].Address })
	return out
}

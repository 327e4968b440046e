package replay

import (
	"encoding/json"
	"time"
)

// maxAdoptionDelay is the time within which a valid document must be in force at
// every process.
const maxAdoptionDelay = 8 * time.Second

// documentCheck verifies that each adoption at a process raises the service's
// revision in force, and that a document that a scenario published is in force at
// every process in time.
type documentCheck struct {
	*verdictSet
	contents           map[string][]byte
	publishedDocuments []publishedDocument
	processes          map[string]*documentState
}

type publishedDocument struct {
	DocumentFact
	publishedAt time.Time
}

type documentState struct {
	openedAt time.Time
	lastSeen time.Time
	leaving  bool
	// adopted holds the adoptions of documents by service, in order of time.
	// inForce holds the document in force by service.
	adopted map[string][]adoption
	inForce map[string]contentRef
}

type adoption struct {
	revision  uint64
	adoptedAt time.Time
}

func newDocumentCheck(verdicts *verdictSet, contents map[string][]byte) *documentCheck {
	return &documentCheck{verdictSet: verdicts, contents: contents, processes: make(map[string]*documentState)}
}

func (c *documentCheck) observe(l line, out any) error {
	if l.Component == componentFact {
		return c.observeFact(l)
	}
	s := c.processes[l.Process]
	if s == nil {
		s = &documentState{adopted: make(map[string][]adoption), inForce: make(map[string]contentRef)}
		c.processes[l.Process] = s
	}
	if l.Time.After(s.lastSeen) && !s.leaving {
		s.lastSeen = l.Time
	}
	switch l.Component {
	case componentPhase:
		s.leaving = s.leaving || l.Call == "leave"
	case componentCatalog:
		if l.Call == "open" {
			s.openedAt = l.Time
			return nil
		}
		return c.checkOffer(l, s, out)
	}
	return nil
}

func (c *documentCheck) observeFact(l line) error {
	if l.Call != FactDocument {
		return nil
	}
	f, err := decode[DocumentFact](l.Args)
	c.publishedDocuments = append(c.publishedDocuments, publishedDocument{DocumentFact: f, publishedAt: l.Time})
	return err
}

// checkOffer checks the document in force after an offer. It reads the offered
// revision from the document's bytes and not from the decision.
func (c *documentCheck) checkOffer(l line, s *documentState, out any) error {
	ref, err := decode[contentRef](l.Args)
	if err != nil {
		return err
	}
	r, ok := out.(offerResult)
	if !ok {
		return nil
	}
	before := s.adoptedRevision(ref.Service)
	if r.Verdict != "adopted" {
		unchanged := r.InForce == before && (before == 0 || r.Digest == s.inForce[ref.Service].Digest)
		c.verdictSet.count(PromiseRevisionGrows, unchanged, "%s: revision %d in force after a refused offer, %d before", l.Process, r.InForce, before)
		return nil
	}
	revision := c.revisionOf(ref)
	c.verdictSet.count(PromiseRevisionGrows, revision > before && r.InForce == revision, "%s: revision %d of %s adopted over %d", l.Process, revision, ref.Service, before)
	s.adopted[ref.Service] = append(s.adopted[ref.Service], adoption{revision: revision, adoptedAt: l.Time})
	s.inForce[ref.Service] = ref
	return nil
}

func (s *documentState) adoptedRevision(service string) uint64 {
	if a := s.adopted[service]; len(a) > 0 {
		return a[len(a)-1].revision
	}
	return 0
}

func (c *documentCheck) revisionOf(ref contentRef) uint64 {
	var d struct {
		Revision uint64 `json:"revision"`
	}
	if json.Unmarshal(c.contents[ref.key()], &d) != nil {
		return 0
	}
	return d.Revision
}

// finish checks each published document at the processes whose lines cover the
// whole time in which the document had to come into force.
func (c *documentCheck) finish() {
	for _, published := range c.publishedDocuments {
		due := published.publishedAt.Add(maxAdoptionDelay)
		for process, s := range c.processes {
			if s.openedAt.IsZero() || s.openedAt.After(published.publishedAt) || s.lastSeen.Before(due) {
				continue
			}
			c.verdictSet.count(PromiseInForce, s.adoptedInTime(published, due), "%s: revision %d of %s is not in force at %s", process, published.Revision, published.Service, clockText(due))
		}
	}
}

func (s *documentState) adoptedInTime(published publishedDocument, due time.Time) bool {
	for _, a := range s.adopted[published.Service] {
		if a.revision >= published.Revision && !a.adoptedAt.After(due) {
			return true
		}
	}
	return false
}

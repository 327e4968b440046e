package feed

import (
	"cmp"
	"math"
)

// UnknownEra is the era in the position of an instance whose version does not know eras.
// It is valid only as an argument of Replica.Since.
const UnknownEra = math.MaxUint64

// Position identifies a state of the published keys. The platform reissues revisions when
// it returns from a backup, and then increases its era; so revisions are comparable only
// within an era, and positions compare by era first. Position is comparable with ==.
type Position struct {
	// Era is 0 if the platform states none.
	Era      uint64
	Revision uint64
}

// Before reports whether p is earlier than q.
func (p Position) Before(q Position) bool {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision)) < 0
}

// IsZero reports whether p is the position of a copy that was never filled.
func (p Position) IsZero() bool { return p == Position{} }

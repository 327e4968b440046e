package feed

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
)

const (
	// minLapseAge is the age of the copy above which registry entries may have lapsed
	// because the platform was unavailable. An entry expires after three report
	// intervals of 1.2 s, so it lapses only if its upstream has missed at least two
	// reports.
	minLapseAge = 2400 * time.Millisecond
	// minUnreadAge replaces minLapseAge for an instance whose own calls have not failed:
	// the instances that should have read the platform before it may have been turned
	// away, or may have failed, while the platform served everybody else.
	minUnreadAge = 3 * time.Second
)

// OutageDetector decides whether the platform was unavailable, so that registry entries
// may have lapsed although their upstreams run. An old copy alone does not show that: the
// platform may turn some instances away, or the instances that read it for the others may
// fail one after the other, while upstreams go on to report. OutageDetector does no I/O
// and reads no clock; its owner serialises access to it.
type OutageDetector struct {
	// lastFailed is when the last call of this instance began, if it failed; zero if it
	// succeeded.
	lastFailed time.Time
	// others holds when this instance learned that calls of another one fail.
	others map[model.InstanceID]time.Time
}

// CallFailed records that a call of this instance, which began at the given time, failed.
func (d *OutageDetector) CallFailed(start time.Time) { d.lastFailed = start }

// CallSucceeded records that a call of this instance succeeded, and reports whether it
// ends an outage; see EndsOutage.
func (d *OutageDetector) CallSucceeded(now, confirmedAt time.Time) bool {
	ended := d.EndsOutage(now, confirmedAt)
	d.lastFailed = time.Time{}
	return ended
}

// EndsOutage reports whether a call that succeeds now ends an outage. confirmedAt is when
// the platform last confirmed a copy, of any instance that this one knows of.
func (d *OutageDetector) EndsOutage(now, confirmedAt time.Time) bool {
	age := now.Sub(confirmedAt)
	switch {
	case age <= minLapseAge:
		return false
	case !d.lastFailed.IsZero() && !confirmedAt.After(d.lastFailed):
		// Nobody has read the platform between that call and this one.
		return true
	default:
		return age > minUnreadAge && d.othersFailedSince(confirmedAt)
	}
}

func (d *OutageDetector) othersFailedSince(t time.Time) bool {
	for _, learnedAt := range d.others {
		if learnedAt.After(t) {
			return true
		}
	}
	return false
}

// SetFailing records which other instances say that their calls fail.
func (d *OutageDetector) SetFailing(now time.Time, ids []model.InstanceID) {
	failing := make(map[model.InstanceID]time.Time, len(ids))
	for _, id := range ids {
		learnedAt, known := d.others[id]
		if !known {
			learnedAt = now
		}
		failing[id] = learnedAt
	}
	d.others = failing
}

package port

import (
	"context"
	"errors"
	"time"

	"github.com/sardineturn/sardineturn/pkg/feed"
	"github.com/sardineturn/sardineturn/pkg/model"
)

// ErrHistoryGone means that the changes after a revision are no longer
// available, so that all keys have to be read again.
var ErrHistoryGone = errors.New("the changes after this revision are no longer available")

// Store reads the keys that the platform publishes. Instances can't write to the
// platform.
type Store interface {
	// List reads all keys. They are of one era.
	List(ctx context.Context) (feed.Delta, error)
	// Watch returns the changes after a position. It waits for a change for up to
	// wait and then returns an empty delta. It returns ErrHistoryGone if the
	// changes are no longer available. The platform knows only the revision; so if
	// the delta is of another era than the position, it does not follow on it.
	Watch(ctx context.Context, after feed.Position, wait time.Duration) (feed.Delta, error)
}

// FeedPeers reads the published keys from other instances.
type FeedPeers interface {
	// FetchChanges returns a peer's changes after a position, and the time since
	// the peer's copy was last confirmed to be current. If there is no change
	// yet, the peer waits for one for up to wait. The delta is of an earlier era than
	// the position if the peer's copy is, or if the peer's version does not know eras.
	FetchChanges(ctx context.Context, to model.InstanceID, after feed.Position, wait time.Duration) (feed.Delta, time.Duration, error)
	// FetchMembers returns the instances that a peer considers alive. It returns
	// none if the digest of the peer's list equals the given one.
	FetchMembers(ctx context.Context, to model.InstanceID, digest uint64) ([]model.InstanceID, error)
}

// FeedHandler serves the published keys to other instances.
type FeedHandler interface {
	// HandleFetchChanges answers FetchChanges. It returns false if this instance
	// has no copy of the keys yet. The era of after is feed.UnknownEra if the
	// sender's version does not know eras.
	HandleFetchChanges(ctx context.Context, after feed.Position, wait time.Duration) (feed.Delta, time.Duration, bool)
	// HandleFetchMembers answers FetchMembers with the instances that this one
	// considers alive, or with none if the digest of its list equals the given one.
	HandleFetchMembers(digest uint64) []model.InstanceID
}

package port

import (
	"context"
	"errors"
	"time"

	"github.com/sardineturn/sardineturn/pkg/feed"
	"github.com/sardineturn/sardineturn/pkg/model"
)

// ErrHistoryGone means that the changes after a revision are no longer
// available, so that the whole content has to be read.
var ErrHistoryGone = errors.New("the changes after this revision are no longer available")

// Store reads the keys that the platform publishes. Nothing can be written
// there.
type Store interface {
	// List reads the whole content.
	List(ctx context.Context) (feed.Delta, error)
	// Watch returns the changes after a revision, or an empty step when there is
	// none within wait. It returns ErrHistoryGone if they are not available.
	Watch(ctx context.Context, after uint64, wait time.Duration) (feed.Delta, error)
}

// FeedPeers reads the published keys from other instances.
type FeedPeers interface {
	// FetchChanges returns the changes after a revision, waiting for one if
	// there is none, and the time since the peer's copy was confirmed.
	FetchChanges(ctx context.Context, to model.InstanceID, after uint64, wait time.Duration) (feed.Delta, time.Duration, error)
	// FetchMembers returns the instances that a peer sees alive, or none if their
	// digest is the given one.
	FetchMembers(ctx context.Context, to model.InstanceID, digest uint64) ([]model.InstanceID, error)
}

// FeedHandler serves the published keys to other instances.
type FeedHandler interface {
	// HandleFetchChanges returns false if no keys are known yet.
	HandleFetchChanges(ctx context.Context, after uint64, wait time.Duration) (feed.Delta, time.Duration, bool)
	// HandleFetchMembers returns the instances that this one sees alive, or none if
	// their digest is the given one.
	HandleFetchMembers(digest uint64) []model.InstanceID
}

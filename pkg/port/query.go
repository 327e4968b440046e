package port

import (
	"context"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// PeerQuery is a query over shards that one instance asks another one to run.
type PeerQuery struct {
	ID, Method, Host, Target string
	// Head is the request line and the headers that are sent to upstreams.
	Head, Body []byte
	// Wait is how much longer the caller waits for the answer. Spent is the part
	// of the caller's time that was used before the query was sent. ReturnDelay
	// is the time that the answer takes from the receiver back to the caller.
	Wait, Spent, ReturnDelay time.Duration
	// ConnectTimeout bounds the wait for a connection to the other instance.
	ConnectTimeout time.Duration
	// ConfigVersion is the version of the sender's configuration.
	ConfigVersion uint64
}

// PeerAnswer is the answer to a PeerQuery.
type PeerAnswer struct {
	// Declined is true if the other instance has sent nothing to upstreams for
	// this query and will not do so. Reason says why, for logs.
	Declined   bool
	Reason     string
	Code       result.Code
	Ran        model.RunState
	RetryAfter time.Duration
	Body       []byte
	Signatures []string
	// Missing is the number of parts without an answer.
	Missing int
	// Active is the number of queries that the other instance has in progress.
	Active int
}

// QueryPeers delegates queries to other instances. An error with the code
// result.PeerUnreachable means that the query was not sent.
type QueryPeers interface {
	RunQuery(ctx context.Context, to model.InstanceID, q PeerQuery) (PeerAnswer, error)
	// Connect opens a connection in the background, so that the first delegated
	// query does not have to wait for it.
	Connect(to model.InstanceID)
}

// QueryHandler runs the queries that other instances delegate to this one.
type QueryHandler interface {
	HandleRunQuery(ctx context.Context, q PeerQuery) PeerAnswer
}

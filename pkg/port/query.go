package port

import (
	"context"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// PeerQuery is a query over shards that another instance runs.
type PeerQuery struct {
	ID, Method, Host, Target string
	// Head is the request line with the headers that upstreams get.
	Head, Body []byte
	// Wait is how long the caller still waits, Spent what it had spent before,
	// and ReturnDelay the time between the answer's return here and the caller.
	Wait, Spent, ReturnDelay time.Duration
	// ConnectTimeout bounds the wait for a connection to the other instance.
	ConnectTimeout time.Duration
	// ConfigVersion is the sender's configuration.
	ConfigVersion uint64
}

// PeerAnswer is the answer to a PeerQuery.
type PeerAnswer struct {
	// Declined is true if nothing was sent to upstreams and will not be; Reason says
	// why, for logs.
	Declined   bool
	Reason     string
	Code       result.Code
	Ran        model.RunState
	RetryAfter time.Duration
	Body       []byte
	Signatures []string
	Missing    int
	// Active is the number of queries in progress at the other instance.
	Active int
}

// QueryPeers lets other instances run queries. An error of the code
// result.PeerUnreachable means that the query was not sent.
type QueryPeers interface {
	RunQuery(ctx context.Context, to model.InstanceID, q PeerQuery) (PeerAnswer, error)
	// Connect opens a connection in the background, so that the first query does
	// not wait for it.
	Connect(to model.InstanceID)
}

// QueryHandler runs queries for other instances.
type QueryHandler interface {
	HandleRunQuery(ctx context.Context, q PeerQuery) PeerAnswer
}

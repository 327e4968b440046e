package peergrpc

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/feed"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/wire"
)

// changesHandler answers requests for changes with a fixed delta.
type changesHandler struct {
	queryHandler
	delta feed.Delta
	after feed.Position
}

func (h *changesHandler) HandleFetchChanges(_ context.Context, after feed.Position, _ time.Duration) (feed.Delta, time.Duration, bool) {
	h.after = after
	return h.delta, 5 * time.Millisecond, true
}

// fullDelta returns a delta of all keys, whose values have about 300 bytes each.
func fullDelta(era, revision uint64, keys int) feed.Delta {
	d := feed.Delta{Position: feed.Position{Era: era, Revision: revision}, Full: true, Lapsed: true}
	for i := range keys {
		value := fmt.Sprintf(`{"service":"s%d","zone":"z%d","state":"ready","padding":%q}`, i, era, strings.Repeat("x", 250))
		d.Changes = append(d.Changes, feed.Change{Key: fmt.Sprint("servers/i", i), Revision: revision - uint64(i%3), Value: []byte(value)})
	}
	return d
}

// TestChangesArePreserved guards against changes of published keys that are lost or
// altered between instances, compressed or not, and against a compressed copy that is
// sent again after the keys have changed or the platform has returned from a backup.
func TestChangesArePreserved(t *testing.T) {
	h := &changesHandler{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := NewGatewayServer(h)
	go func() { _ = server.Serve(l) }()
	client := NewClient(port.SystemClock{})
	t.Cleanup(func() { client.Close(); server.Stop() })
	deltas := []feed.Delta{
		fullDelta(0, 100, 3), fullDelta(0, 100, 500), fullDelta(0, 101, 500), fullDelta(0, 100, 500), fullDelta(1, 100, 500),
		{Position: feed.Position{Revision: 102}, Changes: []feed.Change{{Key: "k", Revision: 102, Deleted: true, Lapsed: true}}},
	}
	for i, d := range deltas {
		h.delta = d
		after := feed.Position{Era: uint64(i % 2), Revision: uint64(i)}
		got, age, err := client.FetchChanges(t.Context(), model.InstanceID(l.Addr().String()), after, time.Second)
		must.NoError(t, err)
		must.Eq(t, after, h.after)
		must.Eq(t, d, got)
		must.Eq(t, 5*time.Millisecond, age)
	}
}

// TestFullCopiesAreCompressed guards against uncompressed copies of all keys, which
// filled the links of the instances that were asked first when 295 instances restarted
// at once, and against compressed replies to instances that cannot read them.
func TestFullCopiesAreCompressed(t *testing.T) {
	var e changesEncoder
	d := fullDelta(0, 7, 500)
	var reply wire.FetchChangesReply
	must.NoError(t, e.encode(&reply, d, true))
	must.SliceEmpty(t, reply.GetChanges())
	must.Less(t, valueBytes(d.Changes)/5, len(reply.GetCompressedChanges()))
	var plain wire.FetchChangesReply
	must.NoError(t, e.encode(&plain, d, false))
	must.SliceLen(t, 500, plain.GetChanges())
	must.SliceEmpty(t, plain.GetCompressedChanges())
	_, err := decodeChanges(&wire.FetchChangesReply{CompressedChanges: reply.GetCompressedChanges()[:100]})
	must.Error(t, err)
}

// TestOldVersionStatesNoEra guards against taking a sender whose version does not know
// eras for one in era 0. In a later era it would be sent all keys in answer to each of its
// requests, without a wait.
func TestOldVersionStatesNoEra(t *testing.T) {
	h := &changesHandler{}
	_, err := NewGatewayServer(h).FetchChanges(t.Context(), &wire.FetchChangesRequest{After: 7})
	must.NoError(t, err)
	must.Eq(t, feed.Position{Era: feed.UnknownEra, Revision: 7}, h.after)
}

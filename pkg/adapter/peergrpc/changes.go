package peergrpc

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/sardineturn/sardineturn/pkg/feed"
	"github.com/sardineturn/sardineturn/pkg/result"
	"github.com/sardineturn/sardineturn/pkg/wire"
)

// minCompressedBytes is the size of the values of a full delta from which it is
// compressed. When many instances start at once, each gets a full copy of several
// hundred kilobytes; uncompressed copies keep the links of the senders busy for over a
// second.
const minCompressedBytes = 16 << 10

// changesEncoder encodes full deltas. It keeps the last compressed one, because many
// instances that start together ask for the same one.
type changesEncoder struct {
	mu         sync.Mutex
	digest     uint64
	compressed []byte
}

// encode sets the changes of the reply to those of d, compressed if that is accepted and
// d is a large full delta.
func (e *changesEncoder) encode(reply *wire.FetchChangesReply, d feed.Delta, acceptsCompressed bool) error {
	if !acceptsCompressed || !d.Full || valueBytes(d.Changes) < minCompressedBytes {
		reply.Changes = toWireChanges(d.Changes)
		return nil
	}
	digest := changesDigest(d)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.compressed == nil || e.digest != digest {
		compressed, err := compressChanges(d.Changes)
		if err != nil {
			return err
		}
		e.digest, e.compressed = digest, compressed
	}
	reply.CompressedChanges = e.compressed
	return nil
}

func valueBytes(changes []feed.Change) int {
	n := 0
	for i := range changes {
		n += len(changes[i].Value)
	}
	return n
}

// changesDigest returns a hash of the era, the keys and the revisions of a delta, which
// does not depend on their order. Within an era they determine the values.
func changesDigest(d feed.Delta) uint64 {
	sum := d.Revision + d.Era*0x9e3779b97f4a7c15
	for i := range d.Changes {
		sum += xxhash.Sum64String(d.Changes[i].Key) * (2*d.Changes[i].Revision + 1)
	}
	return sum
}

func compressChanges(changes []feed.Change) ([]byte, error) {
	encoded, err := proto.Marshal(&wire.FetchChangesReply{Changes: toWireChanges(changes)})
	if err != nil {
		return nil, result.Wrap(result.Internal, err)
	}
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, result.Wrap(result.Internal, err)
	}
	// Writing to a bytes.Buffer never fails.
	_, _ = w.Write(encoded)
	_ = w.Close()
	return b.Bytes(), nil
}

// decodeChanges returns the changes of a reply.
func decodeChanges(reply *wire.FetchChangesReply) ([]feed.Change, error) {
	if len(reply.GetCompressedChanges()) == 0 {
		return fromWireChanges(reply.GetChanges()), nil
	}
	r, err := gzip.NewReader(bytes.NewReader(reply.GetCompressedChanges()))
	if err != nil {
		return nil, result.Wrap(result.PeerLost, err)
	}
	encoded, err := io.ReadAll(io.LimitReader(r, maxMessageBytes+1))
	if err != nil {
		return nil, result.Wrap(result.PeerLost, err)
	}
	if len(encoded) > maxMessageBytes {
		return nil, result.Errorf(result.PeerLost, "the changes exceed %d bytes", maxMessageBytes)
	}
	var inner wire.FetchChangesReply
	if err := proto.Unmarshal(encoded, &inner); err != nil {
		return nil, result.Wrap(result.PeerLost, err)
	}
	return fromWireChanges(inner.GetChanges()), nil
}

func toWireChanges(changes []feed.Change) []*wire.Change {
	out := make([]*wire.Change, 0, len(changes))
	for _, c := range changes {
		out = append(out, &wire.Change{Key: c.Key, Revision: c.Revision, Value: c.Value, Deleted: c.Deleted, Lapsed: c.Lapsed})
	}
	return out
}

func fromWireChanges(changes []*wire.Change) []feed.Change {
	out := make([]feed.Change, 0, len(changes))
	for _, w := range changes {
		out = append(out, feed.Change{Key: w.GetKey(), Revision: w.GetRevision(), Value: w.GetValue(), Deleted: w.GetDeleted(), Lapsed: w.GetLapsed()})
	}
	return out
}

package platformhttp

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
	"github.com/sardineturn/sardineturn/pkg/standin/platform"
)

// ampleWait is a duration for watches that is so long that no test reaches its end.
const ampleWait = 5 * time.Minute

func startPlatform(t *testing.T) (*platform.Platform, *Client) {
	p, err := platform.Start("127.0.0.1:0", "127.0.0.1:0", platform.Faults{})
	must.NoError(t, err)
	t.Cleanup(p.Close)
	c := New("http://" + p.Address() + "/")
	t.Cleanup(c.Close)
	return p, c
}

func writeDocument(t *testing.T, p *platform.Platform, content string) {
	_, err := p.WriteDocument([]byte(content), false)
	must.NoError(t, err)
}

// TestWatchReturnsExactBytes guards against a watch that misses a write, and against
// a document whose bytes change between the platform and the reader, which would
// change its digest.
func TestWatchReturnsExactBytes(t *testing.T) {
	p, c := startPlatform(t)
	writeDocument(t, p, "{ \"service\": \"a\",\t\"revision\": 1, \"x\": \"<é>\" }\n")
	batch, err := c.ReadDocuments(t.Context(), 0, 0)
	must.NoError(t, err)
	must.Eq(t, 1, batch.Version)
	must.Eq(t, "{ \"service\": \"a\",\t\"revision\": 1, \"x\": \"<é>\" }\n", string(batch.Documents[0].Content))

	batches := make(chan port.DocumentBatch)
	go func() {
		b, _ := c.ReadDocuments(t.Context(), batch.Version, ampleWait)
		batches <- b
	}()
	for p.Counters().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	writeDocument(t, p, `{"service":"b","revision":1}`)
	batch = <-batches
	must.Eq(t, 2, batch.Version)
	must.Len(t, 1, batch.Documents)
	must.Eq(t, 2, p.Counters().Calls)
	must.Eq(t, 1, p.Counters().Watches)
}

// TestPlatformGoesBackToOlderVersion guards against a watch that waits for ever, or
// that returns at once again and again, after the platform has gone back to an older
// state.
func TestPlatformGoesBackToOlderVersion(t *testing.T) {
	p, c := startPlatform(t)
	writeDocument(t, p, `{"service":"a","revision":1}`)
	writeDocument(t, p, `{"service":"a","revision":2}`)
	older := uint64(1)
	p.SetFaults(platform.Faults{ViewVersion: &older})
	batch, err := c.ReadDocuments(t.Context(), 2, ampleWait)
	must.NoError(t, err)
	must.Eq(t, 1, batch.Version)
	must.Eq(t, `{"service":"a","revision":1}`, string(batch.Documents[0].Content))

	batch, err = c.ReadDocuments(t.Context(), batch.Version, time.Millisecond)
	must.NoError(t, err)
	must.SliceEmpty(t, batch.Documents)
	p.SetFaults(platform.Faults{})
	batch, err = c.ReadDocuments(t.Context(), batch.Version, ampleWait)
	must.NoError(t, err)
	must.Eq(t, `{"service":"a","revision":2}`, string(batch.Documents[0].Content))
}

// TestFailedReadReturnsError guards against a failed read that is taken for an empty
// fleet or an empty configuration.
func TestFailedReadReturnsError(t *testing.T) {
	p, c := startPlatform(t)
	p.SetFaults(platform.Faults{ReadsPerSecond: 0.001})
	_, err := c.ReadInstances(t.Context())
	must.NoError(t, err)
	_, err = c.ReadInstances(t.Context())
	must.Eq(t, result.Overloaded, result.CodeOf(err))
	p.SetFaults(platform.Faults{Down: true})
	_, err = c.ReadDocuments(t.Context(), 0, 0)
	must.Error(t, err)
	must.Eq(t, 3, p.Counters().Calls)
}

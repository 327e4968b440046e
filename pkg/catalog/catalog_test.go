package catalog

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
)

// Tests with rapid use this seed unless the command line sets another one.
var _ = flag.Set("rapid.seed", "20261204")

var (
	start   = time.Unix(1_700_000_000, 0)
	errTest = errors.New("failed")
)

func parseTest(b []byte) (*document.Document, error) {
	d := &document.Document{}
	_, err := fmt.Sscanf(string(b), "%s %d", &d.Service, &d.Revision)
	return d, err
}

func rawDocument(service, content string) port.RawDocument {
	return port.RawDocument{Service: service, Content: []byte(content)}
}

// TestOfferKeepsHighestRevision guards against a catalog whose revisions go
// down, whose hash depends on the order of adoption, or that does not send a
// peer the documents that the peer lacks.
func TestOfferKeepsHighestRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(parseTest), New(parseTest)
		revision := make(map[string]uint64)
		offer := rapid.Custom(func(t *rapid.T) port.RawDocument {
			service := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "service")
			content := fmt.Sprintf("%s %d %d", service, rapid.IntRange(1, 5).Draw(t, "revision"), rapid.IntRange(0, 1).Draw(t, "body"))
			return rawDocument(service, content)
		})
		docs := rapid.SliceOfN(offer, 1, 30).Draw(t, "documents")
		for _, d := range docs {
			out := a.Offer(d)
			must.Eq(t, revision[d.Service], out.Previous)
			parsed, _ := parseTest(d.Content)
			must.Eq(t, parsed.Revision > revision[d.Service], out.Verdict == Adopted)
			must.Eq(t, parsed.Revision < revision[d.Service], out.Verdict == Older)
			revision[d.Service] = max(revision[d.Service], parsed.Revision)
			must.Eq(t, revision[d.Service], a.Get(d.Service).Revision)
			must.False(t, a.Lacks(port.DocumentVersion{Service: d.Service, Revision: revision[d.Service]}))
			must.True(t, a.Lacks(port.DocumentVersion{Service: d.Service, Revision: revision[d.Service] + 1}))
		}
		newer := a.Newer(b.Versions())
		slices.Reverse(newer)
		for _, d := range newer {
			must.Eq(t, Adopted, b.Offer(d).Verdict)
		}
		must.Eq(t, a.Hash(), b.Hash())
		must.Eq(t, a.Versions(), b.Versions())
		must.SliceEmpty(t, a.Newer(b.Versions()))
	})
}

// TestRefusalsReportedOnce guards against a log line for every read of the same
// conflicting or invalid document, and against a conflict that is not passed on
// to peers.
func TestRefusalsReportedOnce(t *testing.T) {
	c := New(parseTest)
	must.Eq(t, Adopted, c.Offer(rawDocument("x", "x 1 a")).Verdict)
	for i, content := range []string{"x 1 b", "x 1 b", "x 1 c", "broken", "broken", "y 2"} {
		out := c.Offer(rawDocument("x", content))
		must.Error(t, out.Err)
		must.Eq(t, i != 1 && i != 4, out.FirstTime, must.Sprint(content))
		must.Eq(t, 1, out.Document.Revision)
	}
	must.Len(t, 4, c.Refusals())
	other := New(parseTest)
	other.Offer(rawDocument("x", "x 1 b"))
	must.NotEq(t, c.Hash(), other.Hash())
	must.Eq(t, Conflict, other.Offer(c.Newer(other.Versions())[0]).Verdict)
	must.Eq(t, Adopted, c.Offer(rawDocument("x", "x 2 b")).Verdict)
	must.SliceEmpty(t, c.Refusals())
}

// TestNewerIsBounded guards against an answer to a peer that exceeds the
// message limit.
func TestNewerIsBounded(t *testing.T) {
	c := New(parseTest)
	for i := range 5 {
		service := fmt.Sprintf("s%d", i)
		content := append(fmt.Appendf(nil, "%s 1 ", service), make([]byte, document.MaxBytes-100)...)
		must.Eq(t, Adopted, c.Offer(port.RawDocument{Service: service, Content: content}).Verdict)
	}
	must.Len(t, 3, c.Newer(nil))
}

func newTestReader(seed uint64) *Reader {
	return NewReader(ReaderConfig{Rand: rand.New(rand.NewPCG(seed, 0))})
}

// countReads runs the reader for the given span of time and returns the number of
// reads and the end time. Each read takes the time latency and ends with version
// and err.
func countReads(r *Reader, now time.Time, span, latency time.Duration, version uint64, err error) (int, time.Time) {
	count := 0
	for end := now.Add(span); now.Before(end); now = now.Add(10 * time.Millisecond) {
		if _, ok := r.Next(now); ok {
			count++
			now = now.Add(latency)
			r.Finished(now, version, err)
		}
	}
	return count, now
}

// TestReaderBacksOffAndRecovers guards against a reader that reads too often
// while the platform fails, that does not report it as unreachable, or that
// does not recover when reads succeed again.
func TestReaderBacksOffAndRecovers(t *testing.T) {
	r := newTestReader(1)
	must.True(t, r.NextWake().IsZero())
	must.True(t, r.SetRole(start, true, 0))
	count, now := countReads(r, start, time.Second, 0, 0, errTest)
	must.True(t, r.Unreachable())
	must.Less(t, 8, count)
	count, now = countReads(r, now, time.Minute, 0, 0, errTest)
	must.Less(t, 35, count)
	must.Greater(t, 12, count)
	_, now = countReads(r, now, DefaultMaxBackoff, 0, 7, nil)
	must.False(t, r.Unreachable())
	read, ok := r.Next(r.NextWake())
	must.True(t, ok)
	must.Eq(t, Read{Since: 7, Wait: DefaultWatchWait}, read)
	_, ok = r.Next(now.Add(time.Hour))
	must.False(t, ok)
}

// TestUnreachableInstanceProbesPlatform guards against an instance that loses the
// role of reader while it counts the platform as unreachable, and then never
// finds out that the platform is reachable again. It also guards against a rate
// of probes that grows with the fleet.
func TestUnreachableInstanceProbesPlatform(t *testing.T) {
	r := newTestReader(2)
	r.SetRole(start, true, 0)
	_, now := countReads(r, start, time.Second, 0, 0, errTest)
	const unreachable = 100
	r.SetRole(now, false, unreachable)
	count, now := countReads(r, now, 10*unreachable*DefaultProbeInterval, 0, 0, errTest)
	must.Less(t, 20, count)
	must.Greater(t, 5, count)
	countReads(r, now, 2*unreachable*DefaultProbeInterval, 0, 1, nil)
	must.False(t, r.Unreachable())
	must.True(t, r.NextWake().IsZero())
}

// TestReaderPlatformReset guards against a reader that misses changes after the
// platform was reset to a lower version: it would go on waiting for versions above
// its last one, which the platform reaches only after a long time.
func TestReaderPlatformReset(t *testing.T) {
	r := newTestReader(3)
	r.SetRole(start, true, 0)
	countReads(r, start, time.Second, 0, 9, nil)
	_, now := countReads(r, start.Add(time.Second), 300*time.Millisecond, 0, 2, nil)
	read, ok := r.Next(now.Add(DefaultMaxBackoff))
	must.True(t, ok && read.Since == 0)
}

func newTestPlan(seed uint64) *FetchPlan {
	return NewFetchPlan(FetchConfig{Rand: rand.New(rand.NewPCG(seed, 0))})
}

// TestFetchAnnounced guards against two fetches from one peer at a time, against
// a failing peer that prevents fetches from another one or is asked again before
// its backoff has passed, and against fetches planned after the announced
// document has been adopted.
func TestFetchAnnounced(t *testing.T) {
	p := newTestPlan(1)
	now := start
	p.Observe(now, "a", 1, true)
	first, _ := p.Next(now)
	must.Eq(t, "a", first)
	now = now.Add(DefaultFetchInterval)
	_, ok := p.Next(now)
	must.False(t, ok)
	p.Observe(now, "b", 1, true)
	second, _ := p.Next(now)
	must.Eq(t, "b", second)
	p.Finished(now, "a", false, errTest)
	_, ok = p.Next(now.Add(DefaultFetchInterval))
	must.False(t, ok)
	p.SetHash(now, 1)
	p.Finished(now, "b", true, nil)
	must.True(t, p.NextWake().IsZero())
}

// TestFetchByHash guards against fetches because of a different hash within the
// grace time, in which a change usually still arrives by announcement. It also
// guards against an unlimited rate of fetches from peers that have nothing new.
func TestFetchByHash(t *testing.T) {
	p := newTestPlan(2)
	fetches := 0
	for ms := range 60_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms%200 == 0 {
			p.Observe(now, model.InstanceID(fmt.Sprint("peer", ms%5)), 5, false)
		}
		if peer, ok := p.Next(now); ok {
			must.Greater(t, 1000, ms)
			fetches++
			p.Finished(now, peer, false, nil)
		}
	}
	must.Between(t, 4, fetches, 9)
}

package quarantine

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "github.com/sardineturn/sardineturn/internal/testseed"
	"github.com/sardineturn/sardineturn/pkg/model"
)

var epoch = time.Unix(1_700_000_000, 0)

// TestFingerprintFraming guards against two different requests that share a
// fingerprint because their concatenated fields are equal.
func TestFingerprintFraming(t *testing.T) {
	must.NotEq(t, Fingerprint("ab", "c", []byte("d")), Fingerprint("a", "bc", []byte("d")))
	must.NotEq(t, Fingerprint("a", "b", []byte("cd")), Fingerprint("a", "bc", []byte("d")))
	must.NotEq(t, Fingerprint("a", "", []byte("b")), Fingerprint("a", "b", nil))
	must.Eq(t, Fingerprint("a", "b", []byte("c")), Fingerprint("a", "b", []byte("c")))
}

// TestSetAgainstModel guards against entries that block requests after their
// expiry, entries that are lost although the set is not full, and a set that
// grows beyond its limit.
func TestSetAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 6).Draw(t, "limit")
		s := New(limit)
		until := map[model.Fingerprint]time.Time{}
		now := epoch
		dropped := false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Second)
			f := model.Fingerprint(rapid.IntRange(1, 9).Draw(t, "f"))
			end := now.Add(time.Duration(rapid.IntRange(-10, 900).Draw(t, "ttl")) * time.Second)
			s.Merge(now, []Entry{{Fingerprint: f, Service: "s", Until: end}})
			if latest := now.Add(Duration); end.After(latest) {
				end = latest
			}
			if end.After(until[f]) {
				until[f] = end
			}
			live := 0
			for f, u := range until {
				if u.After(now) {
					live++
				}
				if s.Blocked(now, f) && !u.After(now) {
					t.Fatalf("fingerprint %d blocked after its expiry", f)
				}
			}
			dropped = dropped || live > limit
			if entries := s.Entries(now); len(entries) > limit || !dropped && len(entries) != live {
				t.Fatalf("%d entries, want %d, limit %d", len(entries), live, limit)
			}
		}
	})
}

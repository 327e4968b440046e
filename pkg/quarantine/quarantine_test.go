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

// TestCrashRecordsOfSeveralInstances guards against crashes that are lost when instances
// that detected different crashes at the same time exchange their records, and against a
// crash that is counted twice because two instances detected it.
func TestCrashRecordsOfSeveralInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const request = model.Fingerprint(7)
		sets := []*Set{New(0), New(0), New(0)}
		crashed := map[string]bool{}
		for range rapid.IntRange(1, 5).Draw(t, "detections") {
			upstream := rapid.SampledFrom([]string{"u1", "u2", "u3"}).Draw(t, "upstream")
			crashed[upstream] = true
			detectedAt := epoch.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "delay")) * time.Millisecond)
			rapid.SampledFrom(sets).Draw(t, "instance").AddCrash(detectedAt, Crash{Fingerprint: request, Service: "s", Upstream: upstream, Started: 1})
		}
		for range 2 {
			for i, s := range sets {
				s.Merge(epoch, sets[(i+1)%len(sets)].Entries(epoch))
			}
		}
		for _, s := range sets {
			if s.Crashes(epoch, request) != len(crashed) || s.Blocked(epoch, request) != (len(crashed) >= CrashLimit) {
				t.Fatalf("%d crashes, want %d", s.Crashes(epoch, request), len(crashed))
			}
			if s.Blocked(epoch.Add(Duration+time.Second), request) {
				t.Fatal("the request is refused after the crash records expired")
			}
		}
	})
}

// TestCrashesOfRestartedUpstream guards against counting the crashes of processes that
// used the same id one after the other as one crash, also while the registry does not
// show the restart.
func TestCrashesOfRestartedUpstream(t *testing.T) {
	for _, second := range []Crash{
		{Fingerprint: 7, Upstream: "u", Started: 2},
		{Fingerprint: 7, Upstream: "u", Started: 1},
	} {
		s := New(0)
		s.AddCrash(epoch, Crash{Fingerprint: 7, Upstream: "u", Started: 1})
		must.False(t, s.Blocked(epoch, 7))
		s.AddCrash(epoch.Add(2*time.Second), second)
		must.True(t, s.Blocked(epoch.Add(2*time.Second), 7))
		must.False(t, s.Blocked(epoch, 8))
	}
}

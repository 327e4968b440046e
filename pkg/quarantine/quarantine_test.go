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
				if s.Blocked(now, f, nil) && !u.After(now) {
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
			rapid.SampledFrom(sets).Draw(t, "instance").AddCrash(detectedAt, time.Time{}, Crash{Fingerprint: request, Service: "s", Upstream: upstream, Started: 1})
		}
		for range 2 {
			for i, s := range sets {
				s.Merge(epoch, sets[(i+1)%len(sets)].Entries(epoch))
			}
		}
		for _, s := range sets {
			if s.Crashes(epoch, request) != len(crashed) || s.Blocked(epoch, request, nil) != (len(crashed) >= CrashLimit) {
				t.Fatalf("%d crashes, want %d", s.Crashes(epoch, request), len(crashed))
			}
			if s.Blocked(epoch.Add(Duration+time.Second), request, nil) {
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
		s.AddCrash(epoch, time.Time{}, Crash{Fingerprint: 7, Upstream: "u", Started: 1})
		must.False(t, s.Blocked(epoch, 7, nil))
		s.AddCrash(epoch.Add(2*time.Second), time.Time{}, second)
		must.True(t, s.Blocked(epoch.Add(2*time.Second), 7, nil))
		must.False(t, s.Blocked(epoch, 8, nil))
	}
}

// TestCrashDetectedLate guards against counting a crash again when its proof for another
// attempt comes late, and against missing the crash of a process that was restarted
// meanwhile under the same id.
func TestCrashDetectedLate(t *testing.T) {
	c := Crash{Fingerprint: 7, Upstream: "u", Started: 1}
	late := epoch.Add(4 * time.Second)
	s := New(0)
	s.AddCrash(epoch, epoch.Add(-time.Second), c)
	_, added := s.AddCrash(late, epoch.Add(-time.Millisecond), c)
	must.False(t, added)
	_, added = s.AddCrash(late, epoch.Add(time.Millisecond), c)
	must.True(t, added)
	must.True(t, s.Blocked(late, 7, nil))
}

// TestDisprovedCrashes guards against instances that, after they have exchanged what they
// know in any order, count a crash that an answer has disproved, or leave out one that
// none has.
func TestDisprovedCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const request = model.Fingerprint(7)
		sets := []*Set{New(0), New(0), New(0)}
		// counts says for each crashed upstream whether its record still counts.
		counts := map[string]bool{}
		services := map[string]string{"u1": "s", "u2": "s", "u3": "r"}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			s := rapid.SampledFrom(sets).Draw(t, "instance")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				upstream := rapid.SampledFrom([]string{"u1", "u2", "u3"}).Draw(t, "upstream")
				if _, known := counts[upstream]; !known {
					counts[upstream] = true
				}
				s.AddCrash(epoch, time.Time{}, Crash{Fingerprint: request, Service: services[upstream], Upstream: upstream, Started: 1})
			case 1:
				service := rapid.SampledFrom([]string{"s", "r"}).Draw(t, "service")
				for _, e := range s.Answered(epoch, request, service) {
					for upstream := range counts {
						c := Crash{Fingerprint: request, Upstream: upstream, Started: 1}
						if c.record(epoch, 0).Fingerprint == e.Fingerprint {
							counts[upstream] = false
						}
					}
				}
			case 2:
				s.Merge(epoch, rapid.SampledFrom(sets).Draw(t, "sender").Entries(epoch))
			}
		}
		for range 2 {
			for i, s := range sets {
				s.Merge(epoch, sets[(i+1)%len(sets)].Entries(epoch))
			}
		}
		want := 0
		for _, c := range counts {
			if c {
				want++
			}
		}
		for _, s := range sets {
			if s.Crashes(epoch, request) != want || s.counting != want || s.CountsCrashes() != (want > 0) {
				t.Fatalf("%d crashes, %d counting, want %d", s.Crashes(epoch, request), s.counting, want)
			}
			if s.Blocked(epoch, request, nil) != (want >= CrashLimit) {
				t.Fatal("refused with a wrong number of crashes")
			}
			s.Entries(epoch.Add(2 * Duration))
			must.False(t, s.CountsCrashes())
		}
	})
}

// TestSimultaneousCrashes guards against refusing a request that was answered before
// because several upstreams crashed together, and against never refusing it.
func TestSimultaneousCrashes(t *testing.T) {
	answered := func(service string) bool { return service == "s" }
	crash := func(service, upstream string) Crash {
		return Crash{Fingerprint: 7, Service: service, Upstream: upstream}
	}
	s := New(0)
	for _, id := range []string{"u1", "u2", "u3"} {
		s.AddCrash(epoch, time.Time{}, crash("s", id))
	}
	must.True(t, s.Blocked(epoch, 7, nil))
	must.False(t, s.Blocked(epoch, 7, answered))
	later := epoch.Add(simultaneousCrashTime + time.Millisecond)
	s.AddCrash(later, time.Time{}, crash("s", "u4"))
	must.True(t, s.Blocked(later, 7, answered))

	s = New(0)
	s.AddCrash(epoch, time.Time{}, crash("r", "u1"))
	s.AddCrash(epoch, time.Time{}, crash("r", "u2"))
	must.True(t, s.Blocked(epoch, 7, answered), must.Sprint("no answer of that service"))
}

// TestAnswers guards against forgetting a request that was just answered, and against
// taking an answer to another request, of another service or of too long ago for one.
func TestAnswers(t *testing.T) {
	a := NewAnswers(epoch)
	must.False(t, a.AnsweredSince(epoch, 0, "s", time.Time{}))
	a.Add(epoch, 7, "s")
	must.True(t, a.AnsweredSince(epoch, 7, "s", time.Time{}))
	must.True(t, a.AnsweredSince(epoch.Add(Duration-1), 7, "s", time.Time{}))
	must.False(t, a.AnsweredSince(epoch.Add(Duration), 7, "s", time.Time{}))
	must.False(t, a.AnsweredSince(epoch, 7, "s", epoch))
	must.False(t, a.AnsweredSince(epoch, 7, "r", time.Time{}))
	must.False(t, a.AnsweredSince(epoch, 8, "s", time.Time{}))
	a.Add(epoch, 9, "")
	must.True(t, a.AnsweredSince(epoch, 9, "s", time.Time{}), must.Sprint("a whole query"))
	for i := range model.Fingerprint(4 * answerSlots) {
		a.Add(epoch, 100+i, "s")
	}
	a.Add(epoch, 7, "s")
	must.True(t, a.AnsweredSince(epoch, 7, "s", time.Time{}))
}

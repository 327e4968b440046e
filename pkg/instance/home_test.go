package instance

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// TestRefusedAttemptNeverRuns guards against running a duplicate of a message
// that arrives after the original was refused: the requester was told that the
// attempt did not run.
func TestRefusedAttemptNeverRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDriver(1)
		d.setup()
		d.hosts[0].start()
		p := d.hosts[0].currentProcess()
		content, _ := json.Marshal(payload{Tag: "late"})
		req := model.GroupRequest{
			ID: model.AttemptID{1}, Group: model.GroupKey{Service: "desk"}, Operation: "reserve", Priority: "top", Payload: content,
			Snapshot: "desk-r1", Shards: []model.ShardID{"0"}, LeastShards: 1, Deadline: time.Now().Add(6 * time.Second),
			NonIdempotent: true, OrderKey: "late", TargetBoot: p.instance.Boot(),
		}
		must.Eq(t, result.NotReady, p.instance.HandleRunGroup(context.Background(), req).Code)
		time.Sleep(5 * time.Second)
		must.Eq(t, result.DuplicateAttempt, p.instance.HandleRunGroup(context.Background(), req).Code)
		must.SliceEmpty(t, d.executions)
		req.ID = model.AttemptID{2}
		must.Eq(t, result.OK, p.instance.HandleRunGroup(context.Background(), req).Code)
		must.SliceLen(t, 1, d.executions)
		d.finish()
	})
}

// TestResumedProcessRefusesHomeWork guards against a process that acts as a home
// after a pause before any member has answered its pings. During the pause, other
// instances may have become the homes of its groups.
func TestResumedProcessRefusesHomeWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDriver(1)
		d.setup()
		for _, h := range d.hosts {
			h.start()
		}
		time.Sleep(4 * time.Second)
		p := d.hosts[0].currentProcess()
		run := func(id byte) result.Code {
			return p.instance.HandleRunGroup(context.Background(), model.GroupRequest{
				ID: model.AttemptID{id}, Group: model.GroupKey{Service: "desk"}, Operation: "search", Priority: "top",
				Snapshot: "desk-r1", Shards: []model.ShardID{"0"}, LeastShards: 1, Deadline: time.Now().Add(time.Second),
			}).Code
		}
		must.Eq(t, result.OK, run(1))
		for other := 1; other < fleetSize; other++ {
			d.setCut(other, 0, true)
		}
		p.pause()
		time.Sleep(1500 * time.Millisecond)
		p.resume()
		must.Eq(t, result.JustResumed, run(2))
		time.Sleep(200 * time.Millisecond)
		must.Eq(t, result.JustResumed, run(3))
		d.mu.Lock()
		clear(d.cutLinks)
		d.mu.Unlock()
		time.Sleep(3 * time.Second)
		must.Eq(t, result.OK, run(4))
		d.finish()
	})
}

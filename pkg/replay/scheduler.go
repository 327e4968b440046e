package replay

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/scheduler"
)

// Arguments of the scheduler's calls.
type (
	schedulerOpen struct {
		Document     *document.Document `json:"document"`
		Group        int                `json:"group"`
		DataCentre   model.DataCentre   `json:"data_centre"`
		MaxInstances int                `json:"max_instances"`
		Seed         [2]uint64          `json:"seed"`
	}
	finishArgs struct {
		Attempt model.AttemptID    `json:"attempt"`
		Reply   port.UpstreamReply `json:"reply"`
	}
	hintArgs struct {
		Upstream string              `json:"upstream"`
		Status   port.UpstreamStatus `json:"status"`
	}
	leavingArgs struct {
		Upstream string `json:"upstream"`
		Leaving  bool   `json:"leaving"`
	}
)

// blockedOnce answers the quarantine question of one call and remembers the
// answer, which the trace must hold.
type blockedOnce struct {
	ask    scheduler.Quarantine
	answer map[model.Fingerprint]bool
}

func (b *blockedOnce) Blocked(now time.Time, f model.Fingerprint) bool {
	if b.ask != nil {
		b.answer[f] = b.ask.Blocked(now, f)
	}
	return b.answer[f]
}

// Scheduler is a scheduler whose calls are recorded.
type Scheduler struct {
	*scheduler.Scheduler
	object
	blocked *blockedOnce
}

// NewScheduler returns a recorded scheduler. Its random source is seeded here,
// because a trace must hold the seed.
func (t *Trace) NewScheduler(cfg scheduler.Config, now time.Time) *Scheduler {
	now = wall(now)
	open := schedulerOpen{
		Document:     cfg.Document,
		Group:        cfg.Group.Key.Index,
		DataCentre:   cfg.LocalDataCentre,
		MaxInstances: cfg.MaxInstances,
		Seed:         [2]uint64{cfg.Rand.Uint64(), cfg.Rand.Uint64()},
	}
	s := &Scheduler{
		object:  object{trace: t, component: componentScheduler, key: cfg.Group.Key.String() + "@" + now.Format(time.RFC3339Nano), newID: cfg.NewID},
		blocked: &blockedOnce{ask: cfg.Quarantine, answer: make(map[model.Fingerprint]bool)},
	}
	cfg.Rand = rand.New(rand.NewPCG(open.Seed[0], open.Seed[1]))
	cfg.NewID = s.drawID
	cfg.Quarantine = s.blocked
	s.Scheduler = scheduler.New(cfg, now)
	s.record("open", now, open, nil)
	return s
}

// answers returns the quarantine's answers of the last call.
func (s *Scheduler) answers() map[model.Fingerprint]bool {
	out := s.blocked.answer
	s.blocked.answer = make(map[model.Fingerprint]bool)
	return out
}

func (s *Scheduler) recordActions(call string, now time.Time, args any, actions []scheduler.Action) []scheduler.Action {
	s.record(call, now, withBlocked{Args: encode(args), Blocked: s.answers()}, typedActions(actions))
	return actions
}

// withBlocked adds the quarantine's answers to a call's arguments.
type withBlocked struct {
	Args    json.RawMessage            `json:"args"`
	Blocked map[model.Fingerprint]bool `json:"blocked,omitempty"`
}

// Submit records scheduler.Scheduler.Submit.
func (s *Scheduler) Submit(now time.Time, req model.GroupRequest) []scheduler.Action {
	now = wall(now)
	req.Deadline = wall(req.Deadline)
	return s.recordActions("submit", now, req, s.Scheduler.Submit(now, req))
}

// Cancel records scheduler.Scheduler.Cancel.
func (s *Scheduler) Cancel(now time.Time, id model.AttemptID) []scheduler.Action {
	now = wall(now)
	return s.recordActions("cancel", now, id, s.Scheduler.Cancel(now, id))
}

// Finish records scheduler.Scheduler.Finish.
func (s *Scheduler) Finish(now time.Time, attempt model.AttemptID, reply port.UpstreamReply) []scheduler.Action {
	now = wall(now)
	return s.recordActions("finish", now, finishArgs{Attempt: attempt, Reply: reply}, s.Scheduler.Finish(now, attempt, reply))
}

// Tick records scheduler.Scheduler.Tick.
func (s *Scheduler) Tick(now time.Time) []scheduler.Action {
	now = wall(now)
	return s.recordActions("tick", now, nil, s.Scheduler.Tick(now))
}

// SetDocument records scheduler.Scheduler.SetDocument.
func (s *Scheduler) SetDocument(now time.Time, d *document.Document, g document.Group) []scheduler.Action {
	now = wall(now)
	args := schedulerOpen{Document: d, Group: g.Key.Index}
	return s.recordActions("document", now, args, s.Scheduler.SetDocument(now, d, g))
}

// Hint records scheduler.Scheduler.Hint.
func (s *Scheduler) Hint(now time.Time, upstream string, st port.UpstreamStatus) []scheduler.Action {
	now = wall(now)
	return s.recordActions("hint", now, hintArgs{Upstream: upstream, Status: st}, s.Scheduler.Hint(now, upstream, st))
}

// SetUpstreamLeaving records scheduler.Scheduler.SetUpstreamLeaving.
func (s *Scheduler) SetUpstreamLeaving(now time.Time, upstream string, leaving bool) []scheduler.Action {
	now = wall(now)
	args := leavingArgs{Upstream: upstream, Leaving: leaving}
	return s.recordActions("leaving", now, args, s.Scheduler.SetUpstreamLeaving(now, upstream, leaving))
}

// Resume records scheduler.Scheduler.Resume.
func (s *Scheduler) Resume(now time.Time, gap time.Duration) []scheduler.Action {
	now = wall(now)
	return s.recordActions("resume", now, gap, s.Scheduler.Resume(now, gap))
}

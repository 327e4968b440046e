package replay

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/scheduler"
)

// Arguments of the scheduler's calls.
type (
	schedulerOpenArgs struct {
		Document     *document.Document `json:"document"`
		Group        int                `json:"group"`
		DataCentre   model.DataCentre   `json:"data_centre"`
		MaxInstances int                `json:"max_instances"`
		Seed         seed               `json:"seed"`
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

// quarantineAnswers implements scheduler.Quarantine. In a recorded run, it asks the
// live quarantine and keeps the answers to each call of the scheduler for the
// trace. In a replay, live is nil and the answers come from the trace.
type quarantineAnswers struct {
	live    scheduler.Quarantine
	answers map[model.Fingerprint]bool
}

func (q *quarantineAnswers) Blocked(now time.Time, f model.Fingerprint) bool {
	if q.live != nil {
		q.answers[f] = q.live.Blocked(now, f)
	}
	return q.answers[f]
}

// Scheduler is a scheduler whose calls are recorded.
type Scheduler struct {
	*scheduler.Scheduler
	recorder
	quarantine *quarantineAnswers
}

// NewScheduler returns a scheduler whose calls are recorded. It replaces the
// random source by one with a new seed, which it writes to the trace: a replay
// needs the seed to draw the same random numbers.
func (t *Trace) NewScheduler(cfg scheduler.Config, now time.Time) *Scheduler {
	now = withoutMonotonic(now)
	openArgs := schedulerOpenArgs{
		Document:     cfg.Document,
		Group:        cfg.Group.Key.Index,
		DataCentre:   cfg.LocalDataCentre,
		MaxInstances: cfg.MaxInstances,
		Seed:         newSeed(cfg.Rand),
	}
	s := &Scheduler{
		recorder:   t.newRecorder(componentScheduler, cfg.Group.Key.String()+"@"+now.Format(time.RFC3339Nano)),
		quarantine: &quarantineAnswers{live: cfg.Quarantine, answers: make(map[model.Fingerprint]bool)},
	}
	s.newID = cfg.NewID
	cfg.Rand = rand.New(openArgs.Seed.source())
	cfg.NewID = s.generateID
	cfg.Quarantine = s.quarantine
	s.Scheduler = scheduler.New(cfg, now)
	s.record("open", now, openArgs, nil)
	return s
}

// takeQuarantineAnswers returns the quarantine's answers during the last call and
// resets them.
func (s *Scheduler) takeQuarantineAnswers() map[model.Fingerprint]bool {
	out := s.quarantine.answers
	s.quarantine.answers = make(map[model.Fingerprint]bool)
	return out
}

func (s *Scheduler) recordActions(call string, now time.Time, args any, actions []scheduler.Action) []scheduler.Action {
	s.record(call, now, argsWithQuarantine{Args: encode(args), Blocked: s.takeQuarantineAnswers()}, typedActions(actions))
	return actions
}

// argsWithQuarantine holds a call's arguments and, in Blocked, the answers that
// the quarantine gave during the call, by request fingerprint.
type argsWithQuarantine struct {
	Args    json.RawMessage            `json:"args"`
	Blocked map[model.Fingerprint]bool `json:"blocked,omitempty"`
}

// Submit records scheduler.Scheduler.Submit.
func (s *Scheduler) Submit(now time.Time, req model.GroupRequest) []scheduler.Action {
	now = withoutMonotonic(now)
	req.Deadline = withoutMonotonic(req.Deadline)
	return s.recordActions("submit", now, req, s.Scheduler.Submit(now, req))
}

// Cancel records scheduler.Scheduler.Cancel.
func (s *Scheduler) Cancel(now time.Time, id model.AttemptID) []scheduler.Action {
	now = withoutMonotonic(now)
	return s.recordActions("cancel", now, id, s.Scheduler.Cancel(now, id))
}

// Finish records scheduler.Scheduler.Finish.
func (s *Scheduler) Finish(now time.Time, attempt model.AttemptID, reply port.UpstreamReply) []scheduler.Action {
	now = withoutMonotonic(now)
	return s.recordActions("finish", now, finishArgs{Attempt: attempt, Reply: reply}, s.Scheduler.Finish(now, attempt, reply))
}

// Tick records scheduler.Scheduler.Tick.
func (s *Scheduler) Tick(now time.Time) []scheduler.Action {
	now = withoutMonotonic(now)
	return s.recordActions("tick", now, nil, s.Scheduler.Tick(now))
}

// SetDocument records scheduler.Scheduler.SetDocument.
func (s *Scheduler) SetDocument(now time.Time, d *document.Document, g document.Group) []scheduler.Action {
	now = withoutMonotonic(now)
	args := schedulerOpenArgs{Document: d, Group: g.Key.Index}
	return s.recordActions("document", now, args, s.Scheduler.SetDocument(now, d, g))
}

// SetUpstreamStatus records scheduler.Scheduler.SetUpstreamStatus.
func (s *Scheduler) SetUpstreamStatus(now time.Time, upstream string, st port.UpstreamStatus) []scheduler.Action {
	now = withoutMonotonic(now)
	return s.recordActions("hint", now, hintArgs{Upstream: upstream, Status: st}, s.Scheduler.SetUpstreamStatus(now, upstream, st))
}

// SetUpstreamLeaving records scheduler.Scheduler.SetUpstreamLeaving.
func (s *Scheduler) SetUpstreamLeaving(now time.Time, upstream string, leaving bool) []scheduler.Action {
	now = withoutMonotonic(now)
	args := leavingArgs{Upstream: upstream, Leaving: leaving}
	return s.recordActions("leaving", now, args, s.Scheduler.SetUpstreamLeaving(now, upstream, leaving))
}

// Resume records scheduler.Scheduler.Resume.
func (s *Scheduler) Resume(now time.Time, gap time.Duration) []scheduler.Action {
	now = withoutMonotonic(now)
	return s.recordActions("resume", now, gap, s.Scheduler.Resume(now, gap))
}

// replayedScheduler is a scheduler whose recorded calls are repeated.
type replayedScheduler struct {
	*scheduler.Scheduler
	ids        recordedIDs
	quarantine *quarantineAnswers
}

func (p *player) playScheduler(l line) (any, error) {
	if l.Call == "open" {
		return nil, p.openScheduler(l)
	}
	s, err := openObject(p.schedulers, l)
	if err != nil {
		return nil, err
	}
	var wrapped argsWithQuarantine
	if err := json.Unmarshal(l.Args, &wrapped); err != nil {
		return nil, err
	}
	s.ids.queue = l.IDs
	s.quarantine.answers = wrapped.Blocked
	actions, err := s.call(l, wrapped.Args)
	return typedActions(actions), err
}

func (p *player) openScheduler(l line) error {
	var openArgs schedulerOpenArgs
	if err := json.Unmarshal(l.Args, &openArgs); err != nil {
		return err
	}
	group, err := groupOf(openArgs)
	if err != nil {
		return err
	}
	s := &replayedScheduler{ids: recordedIDs{queue: l.IDs}, quarantine: &quarantineAnswers{}}
	s.Scheduler = scheduler.New(scheduler.Config{
		Document:        openArgs.Document,
		Group:           group,
		LocalDataCentre: openArgs.DataCentre,
		MaxInstances:    openArgs.MaxInstances,
		NewID:           s.ids.next,
		Rand:            rand.New(openArgs.Seed.source()),
		Quarantine:      s.quarantine,
	}, l.Time)
	p.schedulers[l.objectKey()] = s
	return nil
}

func groupOf(openArgs schedulerOpenArgs) (document.Group, error) {
	if openArgs.Document == nil {
		return document.Group{}, fmt.Errorf("the document is missing")
	}
	groups := openArgs.Document.Groups()
	if openArgs.Group < 0 || openArgs.Group >= len(groups) {
		return document.Group{}, fmt.Errorf("the document has no group %d", openArgs.Group)
	}
	return groups[openArgs.Group], nil
}

// call decodes the arguments of a line and repeats its call.
func (s *replayedScheduler) call(l line, args json.RawMessage) ([]scheduler.Action, error) {
	now := l.Time
	switch l.Call {
	case "submit":
		req, err := decode[model.GroupRequest](args)
		req.Payload = nullToNil(req.Payload)
		return s.Submit(now, req), err
	case "cancel":
		id, err := decode[model.AttemptID](args)
		return s.Cancel(now, id), err
	case "finish":
		a, err := decode[finishArgs](args)
		a.Reply.Result = nullToNil(a.Reply.Result)
		return s.Finish(now, a.Attempt, a.Reply), err
	case "tick":
		return s.Tick(now), nil
	case "document":
		a, err := decode[schedulerOpenArgs](args)
		if err != nil {
			return nil, err
		}
		group, err := groupOf(a)
		if err != nil {
			return nil, err
		}
		return s.SetDocument(now, a.Document, group), nil
	case "hint":
		a, err := decode[hintArgs](args)
		return s.SetUpstreamStatus(now, a.Upstream, a.Status), err
	case "leaving":
		a, err := decode[leavingArgs](args)
		return s.SetUpstreamLeaving(now, a.Upstream, a.Leaving), err
	case "resume":
		gap, err := decode[time.Duration](args)
		return s.Resume(now, gap), err
	default:
		return nil, unknownCall(l)
	}
}

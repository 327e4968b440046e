package instance

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/order"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/scheduler"
)

// groupScheduler is a scheduling group's scheduler: a scheduler.Scheduler, or a
// replay.Scheduler, which also writes its calls to a trace.
type groupScheduler interface {
	Submit(now time.Time, req model.GroupRequest) []scheduler.Action
	Cancel(now time.Time, id model.AttemptID) []scheduler.Action
	Finish(now time.Time, attempt model.AttemptID, reply port.UpstreamReply) []scheduler.Action
	Tick(now time.Time) []scheduler.Action
	NextWake() (time.Time, bool)
	SetDocument(now time.Time, d *document.Document, g document.Group) []scheduler.Action
	SetUpstreamStatus(now time.Time, upstream string, st port.UpstreamStatus) []scheduler.Action
	SetUpstreamLeaving(now time.Time, upstream string, leaving bool) []scheduler.Action
	Resume(now time.Time, gap time.Duration) []scheduler.Action
	Status(now time.Time) scheduler.Status
}

// ticketStore holds order tickets and their outcomes: an order.TicketStore, or a
// replay.Book, which also writes its calls to a trace.
type ticketStore interface {
	Issue(now time.Time, spec order.Spec) (order.Ticket, time.Time, error)
	Submit(now time.Time, t order.Ticket, sub port.OrderSubmission) order.Decision
	Finish(now time.Time, ticket, attempt model.AttemptID, o order.Outcome) (*order.Attempt, *port.OrderAnswer)
	Expire(now time.Time)
	Outstanding(now time.Time) bool
	Len() int
}

func (i *Instance) newScheduler(cfg scheduler.Config, now time.Time) groupScheduler {
	if i.cfg.Trace == nil {
		return scheduler.New(cfg, now)
	}
	return i.cfg.Trace.NewScheduler(cfg, now)
}

func newTicketStore(cfg Config, c order.Config, stripe int) ticketStore {
	if cfg.Trace == nil {
		return order.NewTicketStore(c)
	}
	return cfg.Trace.NewBook(c, stripe)
}

package instance

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/event"
	"github.com/sardineturn/sardineturn/pkg/metrics"
	"github.com/sardineturn/sardineturn/pkg/result"
	"github.com/sardineturn/sardineturn/pkg/scheduler"
)

// report handles the scheduler's actions that neither start nor stop attempts nor
// answer requests: quarantine entries, violated invariants, changes of upstreams
// and counts. It must be called with g.mu locked.
func (g *homeGroup) report(now time.Time, action scheduler.Action) {
	i := g.instance
	switch a := action.(type) {
	case scheduler.QuarantineAdd:
		i.quarantineRequest(now, a)
	case scheduler.Broken:
		i.invariantBroken(a.Invariant, event.Fields{"group": g.key.String()})
	case scheduler.UpstreamChange:
		i.reportUpstreamChange(g, a)
	case scheduler.Count:
		i.reportCount(g, a)
	}
}

func (i *Instance) reportUpstreamChange(g *homeGroup, a scheduler.UpstreamChange) {
	fields := event.Fields{"group": g.key.String(), "upstream": a.Upstream, "state": a.State}
	switch a.State {
	case scheduler.StateEjected:
		i.ports.Metrics.UpstreamEjected(result.UpstreamLost)
		i.logWarn(event.UpstreamEjected, fields, "an upstream failed and gets no work until its ejection ends")
	case scheduler.StateDraining, scheduler.StateLeaving:
		i.logInfo(event.UpstreamDraining, fields, "an upstream is leaving and gets no new work")
	default:
		i.logInfo(event.UpstreamRestored, fields, "an upstream changed its state")
	}
}

// reportCount adds an event that the scheduler counted to the metrics. For operators,
// it also logs answers that don't match their request, and suspect requests.
func (i *Instance) reportCount(g *homeGroup, c scheduler.Count) {
	m := i.ports.Metrics
	switch c.Name {
	case scheduler.CountRefused:
		m.GroupRefused(result.FromName(c.Reason), c.Priority)
	case scheduler.CountRetried:
		m.Retried(result.FromName(c.Reason))
	case scheduler.CountRetryDenied:
		m.RetrySuppressed(metrics.SuppressReason(c.Reason))
	case scheduler.CountHedged:
		m.Hedged(metrics.HedgeLatency)
	case scheduler.CountHedgeDenied:
		m.HedgeSuppressed(metrics.SuppressReason(c.Reason))
	case scheduler.CountAnswerMismatch:
		m.AnswerDropped(metrics.DropAttemptMismatch)
		i.logWarn(event.AnswerDropped, event.Fields{"group": g.key.String()}, "an upstream's answer does not match its request and was dropped")
	case scheduler.CountUnknownAttempt:
		m.AnswerDropped(metrics.DropLate)
	case scheduler.CountSuspect:
		i.logWarn(event.RequestSuspect, event.Fields{"group": g.key.String()}, "a request was in flight when an upstream was lost; its next attempt runs alone on its upstream")
	}
}

func attemptKind(a scheduler.Start) metrics.AttemptKind {
	switch {
	case a.Hedge:
		return metrics.HedgeAttempt
	case a.Retry:
		return metrics.RetryAttempt
	case a.Reason == string(metrics.ProbeAttempt):
		return metrics.ProbeAttempt
	default:
		return metrics.FirstAttempt
	}
}

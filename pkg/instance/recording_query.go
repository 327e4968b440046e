package instance

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/query"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// entryQuery makes the decisions about a query at its entry: a query.Query, or a
// replay.Query, which also writes its calls to a trace.
type entryQuery interface {
	GroupAnswered(now time.Time, id model.AttemptID, a model.GroupAnswer) []query.Action
	GroupFailed(now time.Time, id model.AttemptID, code result.Code, ran model.RunState) []query.Action
	Expire(now time.Time) []query.Action
	CallerGone() []query.Action
	Deadline() time.Time
	Service() string
	Document() *document.Document
}

func (i *Instance) newQuery(now time.Time, q model.Query, doc *document.Document) (entryQuery, []query.Action, error) {
	cfg := i.queryConfig(doc.Service)
	if i.cfg.Trace == nil {
		return query.New(now, q, doc, cfg)
	}
	return i.cfg.Trace.NewQuery(now, q, doc, cfg, i.now)
}

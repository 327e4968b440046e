package instance

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/port"
)

// recordUpstreamList writes the platform's list of upstreams to the trace, if there
// is one. Calls of the schedulers that follow from the list are recorded with the
// other calls of the schedulers.
func (i *Instance) recordUpstreamList(now time.Time, upstreams []port.ListedUpstream) {
	if i.cfg.Trace != nil {
		i.cfg.Trace.RecordUpstreamList(now, upstreams)
	}
}

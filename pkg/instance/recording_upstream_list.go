package instance

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/port"
)

// recordUpstreamList writes the platform's list of upstreams to the trace, if there
// is one. What the list changes in the schedulers is recorded with their calls.
func (i *Instance) recordUpstreamList(now time.Time, upstreams []port.ListedUpstream) {
	if i.cfg.Trace != nil {
		i.cfg.Trace.RecordUpstreamList(now, upstreams)
	}
}

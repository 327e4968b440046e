package instance

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/port"
)

// recordList writes the platform's list of upstreams to the trace. Its effect
// shows in the recorded calls of the schedulers.
func (i *Instance) recordList(now time.Time, upstreams []port.ListedUpstream) {
	if i.cfg.Trace != nil {
		i.cfg.Trace.RecordUpstreamList(now, upstreams)
	}
}

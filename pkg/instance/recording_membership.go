package instance

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/membership"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
)

// memberTable is the member list with its failure detector: a
// membership.Membership, or a replay.Membership, which also writes its calls to a
// trace.
type memberTable interface {
	Self() membership.Member
	Version() uint64
	Members() []membership.Member
	Candidates(now time.Time) []membership.Member
	SetListed(now time.Time, list []port.ListedInstance)
	BootstrapComplete(now time.Time) bool
	Leave(now time.Time) []membership.Send
	SetPlatformUnreachable(now time.Time, v bool)
	SetCatalogHash(h uint64)
	AnnounceDocument(v port.DocumentVersion)
	AnnounceQuarantine(q membership.Quarantine)
	Avoid(now time.Time, id model.InstanceID)
	Resume(now time.Time)
	TakeEvents() []membership.Event
	Tick(now time.Time) []membership.Send
	NextWake() time.Time
	Receive(now time.Time, from string, datagram []byte) (membership.Received, error)
}

func (i *Instance) newMembership(cfg membership.Config, now time.Time) memberTable {
	if i.cfg.Trace == nil {
		return membership.New(cfg, now)
	}
	return i.cfg.Trace.NewMembership(cfg, now, i.now)
}

package membership

import (
	"github.com/sardineturn/sardineturn/pkg/model"
)

// State is the state of a member.
type State int

// Member states. Leaving is final for a boot id: only Dead follows it.
const (
	Alive State = iota
	Suspect
	Leaving
	Dead
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	default:
		return "undefined"
	}
}

// Member is the record of an instance that instances exchange.
type Member struct {
	ID             model.InstanceID
	ControlAddress string
	DataCentre     model.DataCentre
	// Boot identifies a process of the instance. Of two processes, the one with
	// the higher boot id is the later one.
	Boot model.BootID
	// Incarnation orders the records of one process. Only the member itself
	// raises it.
	Incarnation         uint32
	State               State
	PlatformUnreachable bool
	// Capacity is the processor time available to the process, in thousandths
	// of a core; zero if the process does not report it.
	Capacity uint32
}

// milliCores is the number of units of Capacity per core.
const milliCores = 1000

// CapacityFromCores converts the processor time available to a process from
// cores to the unit of Member.Capacity.
func CapacityFromCores(cores float64) uint32 { return uint32(milliCores * cores) }

// Cores returns the processor time available to the member, in cores.
func (m *Member) Cores() float64 { return float64(m.Capacity) / milliCores }

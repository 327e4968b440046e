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

// Member is what is known of an instance.
type Member struct {
	ID             model.InstanceID
	ControlAddress string
	DataCentre     model.DataCentre
	// Boot identifies the process; the higher one is the later start.
	Boot model.BootID
	// Incarnation orders the records of one process. Only the member itself
	// raises it.
	Incarnation         uint32
	State               State
	PlatformUnreachable bool
	// Capacity is the processor time that the process may use, in thousandths of
	// a core; zero if it does not say.
	Capacity uint32
}

// milliCores is the unit of Capacity in cores.
const milliCores = 1000

// CapacityFromCores returns the Capacity of a process that may use the given processor
// time in cores.
func CapacityFromCores(cores float64) uint32 { return uint32(milliCores * cores) }

// Cores returns the processor time of the member in cores.
func (m *Member) Cores() float64 { return float64(m.Capacity) / milliCores }

package soak

import (
	"fmt"
	"slices"
	"strings"
)

// kind is a kind of faults that can be switched on and off.
type kind string

const (
	evacuations     kind = "evacuation" // data centres are evacuated
	coldUpstreams   kind = "cold"       // upstreams are cold, with a limit on requests
	storeRollbacks  kind = "rollback"   // the store returns from an older copy
	invalidStatuses kind = "status"     // upstreams answer with an invalid status
	settingsChanges kind = "settings"   // the settings files change
)

// enabledKinds are the kinds that runs use unless -soak.kinds names others. A kind is
// added once the program keeps the guarantees under it.
var enabledKinds = []kind{evacuations, coldUpstreams, storeRollbacks, invalidStatuses, settingsChanges}

// kindSelector holds the kinds of a run.
type kindSelector []kind

func (k kindSelector) has(one kind) bool { return slices.Contains(k, one) }

// kindsInUse returns the kinds that -soak.kinds names, or enabledKinds.
func kindsInUse() (kindSelector, error) {
	switch *kindNames {
	case "":
		return enabledKinds, nil
	case "none":
		return nil, nil
	}
	var out kindSelector
	for _, name := range strings.Split(*kindNames, ",") {
		switch k := kind(name); k {
		case evacuations, coldUpstreams, storeRollbacks, invalidStatuses, settingsChanges:
			out = append(out, k)
		default:
			return nil, fmt.Errorf("unknown kind of faults %q", name)
		}
	}
	return out, nil
}

// kindsOfSeed returns those of the given kinds that a long run of the seed uses. The
// divisors differ so that all combinations of kinds occur.
func kindsOfSeed(seed uint64, all kindSelector) kindSelector {
	used := map[kind]bool{
		evacuations:     seed%3 == 0,
		coldUpstreams:   seed%5 < 2,
		storeRollbacks:  seed%4 == 3,
		invalidStatuses: seed%7 == 3,
		settingsChanges: seed%2 == 1,
	}
	return slices.DeleteFunc(slices.Clone(all), func(k kind) bool { return !used[k] })
}

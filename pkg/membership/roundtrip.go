package membership

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
)

const (
	// maxIndirectWait bounds the wait if acks come very late. It keeps the
	// time until a dead member is suspect under a second.
	maxIndirectWait = 600 * time.Millisecond
	// maxTripCentres bounds the data centres with a measured round trip.
	maxTripCentres = 64
	// tripGain and varianceGain are the weights of a new sample, as in the
	// retransmission timer of TCP.
	tripGain     = 8
	varianceGain = 4
)

// roundTrip is the smoothed round trip to a data centre and its mean deviation.
type roundTrip struct{ mean, deviation time.Duration }

// roundTrips holds the measured round trips to all data centres.
type roundTrips map[model.DataCentre]roundTrip

func (t roundTrips) observe(dc model.DataCentre, sample time.Duration) {
	sample = max(sample, 0)
	r, known := t[dc]
	if !known {
		if len(t) < maxTripCentres {
			t[dc] = roundTrip{mean: sample}
		}
		return
	}
	r.deviation += (max(sample-r.mean, r.mean-sample) - r.deviation) / varianceGain
	r.mean += (sample - r.mean) / tripGain
	t[dc] = r
}

// longest returns the round trip that acks from the farthest data centre rarely
// exceed.
func (t roundTrips) longest() time.Duration {
	var longest time.Duration
	for _, r := range t {
		longest = max(longest, r.mean+2*r.deviation)
	}
	return longest
}

// indirectWait returns how long an indirect ack may take: one round trip from
// here to the helper and one from there to the member, either as long as the
// longest that is measured, and a quarter of one for variation. In a fleet with
// short round trips, the rest of the round is longer than that.
func (m *Membership) indirectWait() time.Duration {
	longest := m.trips.longest()
	return min(2*longest+longest/4, maxIndirectWait)
}

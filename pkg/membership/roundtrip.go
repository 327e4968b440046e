package membership

import (
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
)

const (
	// maxIndirectAckTimeout bounds the wait for an indirect ack if acks are
	// very slow. It keeps the time until a dead member is suspect below a
	// second.
	maxIndirectAckTimeout = 600 * time.Millisecond
	// maxRoundTripDataCentres bounds the number of data centres whose round
	// trip is measured.
	maxRoundTripDataCentres = 64
	// The weight of a new sample is 1/meanGain in the mean and 1/deviationGain in
	// the deviation, as in the retransmission timer of TCP.
	meanGain      = 8
	deviationGain = 4
)

// roundTrip is the smoothed round-trip time to a data centre and its mean
// deviation.
type roundTrip struct{ mean, deviation time.Duration }

// roundTrips holds the measured round-trip times to all data centres.
type roundTrips map[model.DataCentre]roundTrip

func (t roundTrips) observe(dc model.DataCentre, sample time.Duration) {
	sample = max(sample, 0)
	r, known := t[dc]
	if !known {
		if len(t) < maxRoundTripDataCentres {
			t[dc] = roundTrip{mean: sample}
		}
		return
	}
	r.deviation += (max(sample-r.mean, r.mean-sample) - r.deviation) / deviationGain
	r.mean += (sample - r.mean) / meanGain
	t[dc] = r
}

// longestExpected returns a round-trip time that acks from the farthest data
// centre rarely exceed.
func (t roundTrips) longestExpected() time.Duration {
	var longest time.Duration
	for _, r := range t {
		longest = max(longest, r.mean+2*r.deviation)
	}
	return longest
}

// indirectAckTimeout returns how long to wait for an indirect ack: one round
// trip to the helper and one from the helper to the target, each as long as the
// longest expected one, and a quarter of a round trip for variation. In a fleet
// with short round trips, the rest of the probe round is longer than this, and
// advanceProbes leaves the probe's deadline as it is.
func (m *Membership) indirectAckTimeout() time.Duration {
	longest := m.roundTrips.longestExpected()
	return min(2*longest+longest/4, maxIndirectAckTimeout)
}

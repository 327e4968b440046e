package compare

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/standin/launch"
	"github.com/sardineturn/sardineturn/pkg/standin/upstream"
)

// size is a service of a customer and the number of instances in front of it.
type size struct {
	name      string
	service   launch.Service
	instances int
	snapshot  model.SnapshotID
}

// sizes returns a service of the smallest and one of the largest size of each
// customer.
func sizes() []size {
	return []size{
		newSize("shevitsa", launch.Shevitsa(), "fitting-desk-1", 9),
		newSize("shevitsa", launch.Shevitsa(), "restore-log-1", 9),
		newSize("scalai", launch.Scalai(), "sportello-1", 8),
		newSize("scalai", launch.Scalai(), "officina-1", 8),
	}
}

func newSize(customer string, services []launch.Service, name string, instances int) size {
	for _, s := range services {
		if s.Name == name {
			label := fmt.Sprintf("%s %dx%d", customer, s.Upstreams, s.Slots)
			return size{name: label, service: s, instances: instances, snapshot: "v1"}
		}
	}
	panic("the customer has no service named " + name)
}

// document returns the service's document. Nothing listens on the addresses of its
// upstreams, because the simulation models the upstreams.
func (s size) document() *document.Document {
	var addresses []upstream.NamedAddress
	for i := range s.service.Upstreams {
		addresses = append(addresses, upstream.NamedAddress{Name: fmt.Sprintf("u%d", i), Address: fmt.Sprintf("127.0.0.1:%d", 9000+i)})
	}
	d := s.service.Document(1, s.snapshot, addresses)
	return &d
}

func (s size) dataCentre(instance int) model.DataCentre {
	return s.service.DataCentres[instance%len(s.service.DataCentres)]
}

func (s size) connectTime() time.Duration {
	return time.Duration(s.service.ConnectMS * float64(time.Millisecond))
}

// capacity returns the queries per second that all slots together can serve if
// each slot is idle between two calls for one network round trip from the data
// centre of the first instance.
func (s size) capacity() float64 {
	serviceTime := s.service.ServiceTimes[""]
	meanServiceSeconds := serviceTime.MedianMS / 1000 * math.Exp(serviceTime.Sigma*serviceTime.Sigma/2)
	perSecond := 0.0
	for i := range s.service.Upstreams {
		roundTrip := 2 * oneWayDelay(s.dataCentre(0), s.dataCentre(i)).Seconds()
		perSecond += float64(s.service.Slots) / (meanServiceSeconds + roundTrip)
	}
	return perSecond / float64(s.service.Shards)
}

const (
	// delayBetweenDataCentres and delayWithinDataCentre are the one-way latencies
	// of the network.
	delayBetweenDataCentres = 500 * time.Microsecond
	delayWithinDataCentre   = 50 * time.Microsecond
)

func oneWayDelay(a, b model.DataCentre) time.Duration {
	if a == b {
		return delayWithinDataCentre
	}
	return delayBetweenDataCentres
}

func (s size) matches(filter string) bool { return filter == "" || strings.Contains(s.name, filter) }

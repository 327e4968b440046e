package capacity

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/sardineturn/sardineturn/pkg/membership"
	"github.com/sardineturn/sardineturn/pkg/model"
)

const (
	// udpHeaderBytes is the size of the IPv4 and UDP headers of a datagram.
	udpHeaderBytes  = 28
	roundTime       = membership.DefaultInterval
	roundsPerSecond = int(time.Second / roundTime)
)

var epoch = time.Unix(1_700_000_000, 0)

func member(i, dataCentres int) membership.Member {
	return membership.Member{
		ID:             model.InstanceID(fmt.Sprintf("10.%d.%d.%d:7000", 20+i/62500, i/250%250, i%250)),
		ControlAddress: controlAddress(i),
		DataCentre:     dataCentre(i % dataCentres),
		Boot:           membership.NewBootID(epoch.Add(time.Duration(i)*time.Millisecond), rand.New(rand.NewPCG(uint64(i), 0))),
	}
}

func controlAddress(i int) string {
	return fmt.Sprintf("10.%d.%d.%d:7100", 20+i/62500, i/250%250, i%250)
}

// dataCentre returns the name of data centre d. Data centres 2k and 2k+1 form a
// region.
func dataCentre(d int) model.DataCentre {
	return model.DataCentre(fmt.Sprintf("region%d-dc%d", d/2+1, d%2+1))
}

// benchmarkColumns maps each column of the series "membership" to the benchmark of
// pkg/membership that measures it and the unit with which the benchmark prints
// it.
var benchmarkColumns = []struct {
	column          Column
	benchmark, unit string
}{
	{column("tick and receive", "us/s", Logarithmic), "BenchmarkSecond/churn=1", "tick+receive-us/s"},
	{column("quiet bytes", "B/s", Logarithmic), "BenchmarkSecond/churn=0", "both-with-headers-B/s"},
	{column("daily bytes", "B/s", Linear), "BenchmarkSecond/churn=1", "both-with-headers-B/s"},
	{column("datagrams sent", "1/s", Logarithmic), "BenchmarkSecond/churn=1", "datagrams-sent/s"},
	{column("memory", "KB", Linear), "BenchmarkMemory", "KB"},
}

var benchmarkLine = regexp.MustCompile(`^(Benchmark\S+)/members=(\d+)-\d+\s+\d+\s+(.*)$`)

// readMembershipBenchmark reads the output of the benchmarks of pkg/membership,
// which measure one instance in fleets of 9 to 3,100 members. Each value of the
// series is the median of the benchmark's repeats.
func readMembershipBenchmark(o Options) (Series, error) {
	s := Series{
		Name: "membership", Title: "Membership of one instance: `go test -bench` in pkg/membership; bytes are both directions with UDP headers",
		Size: "members", Seed: 1,
	}
	for _, source := range benchmarkColumns {
		s.Columns = append(s.Columns, source.column)
	}
	file, err := os.Open(o.Benchmark)
	if err != nil {
		return s, fmt.Errorf("reading the output of the benchmarks of pkg/membership: %w", err)
	}
	defer file.Close()
	values := make(map[string][]float64)
	var sizes []int
	scan := bufio.NewScanner(file)
	for scan.Scan() {
		match := benchmarkLine.FindStringSubmatch(scan.Text())
		if match == nil {
			continue
		}
		members, _ := strconv.Atoi(match[2])
		if len(sizes) == 0 || sizes[len(sizes)-1] < members {
			sizes = append(sizes, members)
		}
		fields := strings.Fields(match[3])
		for i := 0; i+1 < len(fields); i += 2 {
			sample, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return s, err
			}
			key := match[1] + " " + fields[i+1] + " " + match[2]
			values[key] = append(values[key], sample)
		}
	}
	for _, members := range sizes {
		var row []float64
		for _, source := range benchmarkColumns {
			samples := values[fmt.Sprintf("%s %s %d", source.benchmark, source.unit, members)]
			if len(samples) == 0 {
				return s, fmt.Errorf("%s has no %s of %s for %d members", o.Benchmark, source.unit, source.benchmark, members)
			}
			row = append(row, median(samples))
			s.Repeats = max(s.Repeats, len(samples))
		}
		s.add(float64(members), row...)
	}
	return s, scan.Err()
}

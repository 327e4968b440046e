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
	// headerBytes is what IPv4 and UDP add to a datagram.
	headerBytes = 28
	roundTime   = membership.DefaultInterval
	roundsEach  = int(time.Second / roundTime)
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

// dataCentre names data centre d; two neighbours form a region.
func dataCentre(d int) model.DataCentre {
	return model.DataCentre(fmt.Sprintf("region%d-dc%d", d/2+1, d%2+1))
}

// benchmarkColumns maps a column to the benchmark of pkg/membership and the
// unit that it prints.
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

// readMembership reads the output of the benchmark of pkg/membership, which
// drives one instance among 9 to 3,100 members.
func readMembership(o Options) (Series, error) {
	s := Series{
		Name: "membership", Title: "Membership of one instance: `go test -bench` in pkg/membership; bytes are both directions with UDP headers",
		Size: "members", Seed: 1,
	}
	for _, c := range benchmarkColumns {
		s.Columns = append(s.Columns, c.column)
	}
	file, err := os.Open(o.Benchmark)
	if err != nil {
		return s, fmt.Errorf("output of the benchmark of pkg/membership: %w", err)
	}
	defer file.Close()
	values := make(map[string][]float64)
	var sizes []int
	scan := bufio.NewScanner(file)
	for scan.Scan() {
		m := benchmarkLine.FindStringSubmatch(scan.Text())
		if m == nil {
			continue
		}
		n, _ := strconv.Atoi(m[2])
		if len(sizes) == 0 || sizes[len(sizes)-1] < n {
			sizes = append(sizes, n)
		}
		fields := strings.Fields(m[3])
		for i := 0; i+1 < len(fields); i += 2 {
			v, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return s, err
			}
			key := m[1] + " " + fields[i+1] + " " + m[2]
			values[key] = append(values[key], v)
		}
	}
	for _, n := range sizes {
		var row []float64
		for _, c := range benchmarkColumns {
			v := values[fmt.Sprintf("%s %s %d", c.benchmark, c.unit, n)]
			if len(v) == 0 {
				return s, fmt.Errorf("%s has no %s of %s for %d members", o.Benchmark, c.unit, c.benchmark, n)
			}
			row = append(row, median(v))
			s.Repeats = max(s.Repeats, len(v))
		}
		s.add(float64(n), row...)
	}
	return s, scan.Err()
}

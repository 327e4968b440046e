package capacity

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/shoenig/test/must"
)

const (
	root = "../../.."
	file = root + "/docs/measurements/capacity.json"
	page = root + "/docs/CAPACITY.md"
)

// TestPageAgreesWithMeasurements guards against figures that were typed by hand
// and against measurements that were committed without filling the page.
func TestPageAgreesWithMeasurements(t *testing.T) {
	report, err := Read(file)
	must.NoError(t, err)
	content, err := os.ReadFile(page)
	must.NoError(t, err)
	filled, err := report.Fill(string(content))
	must.NoError(t, err)
	must.EqOp(t, string(content), filled)
}

// TestFitsFollowFromPoints guards against fits in the file that do not belong to
// its points, and against series with fewer than four sizes.
func TestFitsFollowFromPoints(t *testing.T) {
	report, err := Read(file)
	must.NoError(t, err)
	for _, s := range report.Series {
		must.GreaterEq(t, 4, len(s.Points), must.Sprint(s.Name))
		before := append([]Column(nil), s.Columns...)
		s.Refit()
		must.Eq(t, before, s.Columns, must.Sprint(s.Name))
	}
}

// TestFit guards against a wrong slope, on points of a known line.
func TestFit(t *testing.T) {
	must.Eq(t, Fit{Shape: Linear, Intercept: 3, Slope: 2, R2: 1}, fit(Linear, []float64{1, 2, 5}, []float64{5, 7, 13}))
	must.Eq(t, Fit{Shape: Logarithmic, Intercept: 1, Slope: 4, R2: 1}, fit(Logarithmic, []float64{2, 4, 16}, []float64{5, 9, 17}))
}

// TestConstantsOfTheProduct guards against arithmetic with constants that the
// product no longer has.
func TestConstantsOfTheProduct(t *testing.T) {
	for _, c := range []struct{ path, pattern string }{
		{"pkg/instance/upstream_status.go", `statusInterval = time\.Second\n`},
		{"pkg/instance/reading.go", `readersPerDataCentre = 2\n`},
		{"pkg/instance/reading.go", `listReaders += 24\n`},
		{"pkg/instance/reading.go", `listInterval = time\.Second\n`},
		{"pkg/settings/settings.go", `DefaultMaxInstances += 10\n`},
		{"pkg/settings/settings.go", `DefaultMaxTickets += 20_000\n`},
		{"pkg/order/order.go", `DefaultValidity = 30 \* time\.Second\n`},
		{"pkg/membership/config.go", `maxTombstones = 4096\n`},
	} {
		source, err := os.ReadFile(filepath.Join(root, c.path))
		must.NoError(t, err)
		must.RegexMatch(t, regexp.MustCompile(c.pattern), string(source), must.Sprint(c.path))
	}
}

// TestModelDependsOnSeedAlone guards against a model whose parallel steps change
// its result.
func TestModelDependsOnSeedAlone(t *testing.T) {
	run := func() []float64 {
		w := newNetwork(40, 7, longLatency)
		w.publish(serviceName(0))
		w.until(func() bool { return w.holders() == 40 && w.whole() })
		return []float64{w.publishRounds(), w.traffic(settleTime), w.reads(settleTime)}
	}
	must.Eq(t, run(), run())
}

// TestAllMeasurementsRun guards against measuring code that no longer works with
// the packages that it measures. It looks at no time.
func TestAllMeasurementsRun(t *testing.T) {
	for _, m := range measurements() {
		if m.name == "dissemination" {
			continue
		}
		series, err := m.run(Options{Seed: 1, Quick: true})
		must.NoError(t, err, must.Sprint(m.name))
		for _, s := range series {
			must.SliceLen(t, 2, s.Points, must.Sprint(s.Name))
		}
	}
}

package capacity

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/shoenig/test/must"
)

const (
	repositoryRoot   = "../../.."
	measurementsFile = repositoryRoot + "/docs/measurements/capacity.json"
	capacityPage     = repositoryRoot + "/docs/CAPACITY.md"
)

// TestPageAgreesWithMeasurements guards against figures in docs/CAPACITY.md that
// differ from capacity.json: because they were typed by hand, or because new
// measurements were committed without generating the page again.
func TestPageAgreesWithMeasurements(t *testing.T) {
	report, err := Read(measurementsFile)
	must.NoError(t, err)
	content, err := os.ReadFile(capacityPage)
	must.NoError(t, err)
	filled, err := report.Fill(string(content))
	must.NoError(t, err)
	must.EqOp(t, string(content), filled)
}

// TestFitsFollowFromPoints guards against fits in capacity.json that differ from
// those computed from the points in the same file, and against fits of a series
// with fewer than four sizes.
func TestFitsFollowFromPoints(t *testing.T) {
	report, err := Read(measurementsFile)
	must.NoError(t, err)
	for _, s := range report.Series {
		must.GreaterEq(t, 4, len(s.Points), must.Sprint(s.Name))
		before := append([]Column(nil), s.Columns...)
		s.Refit()
		must.Eq(t, before, s.Columns, must.Sprint(s.Name))
	}
}

// TestFit guards against wrong coefficients: it fits points that lie exactly on a
// known line.
func TestFit(t *testing.T) {
	must.Eq(t, Fit{Shape: Linear, Intercept: 3, Slope: 2, R2: 1}, fit(Linear, []float64{1, 2, 5}, []float64{5, 7, 13}))
	must.Eq(t, Fit{Shape: Logarithmic, Intercept: 1, Slope: 4, R2: 1}, fit(Logarithmic, []float64{2, 4, 16}, []float64{5, 9, 17}))
}

// TestConstantsMatchProductSource guards against estimates that still use the old
// value of a constant after the product has changed it. It reads the product's
// source, because some of the constants are not exported.
func TestConstantsMatchProductSource(t *testing.T) {
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
		source, err := os.ReadFile(filepath.Join(repositoryRoot, c.path))
		must.NoError(t, err)
		must.RegexMatch(t, regexp.MustCompile(c.pattern), string(source), must.Sprint(c.path))
	}
}

// TestModelDependsOnSeedAlone guards against a model of a fleet whose results
// differ between runs with one seed, because they depend on the order in which
// its goroutines run.
func TestModelDependsOnSeedAlone(t *testing.T) {
	run := func() []float64 {
		fleet := newFleetModel(40, 7, longLatency)
		fleet.publish(serviceName(0))
		fleet.runUntil(func() bool { return fleet.upToDate() == 40 && fleet.viewsExact() })
		return []float64{fleet.publishRounds(), fleet.traffic(settleTime), fleet.platformReadRate(settleTime)}
	}
	must.Eq(t, run(), run())
}

// TestAllMeasurementsRun guards against measuring code that fails after a change
// of the packages that it measures. It does not check measured times, and it
// leaves out the model of whole fleets (dissemination).
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

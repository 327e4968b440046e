package document

import (
	_ "embed"
	"fmt"
	"net/netip"
	"slices"
	"sync"

	"github.com/sardineturn/sardineturn/pkg/jsoncheck"
)

//go:embed schema.json
var schemaText []byte

// schema is compiled on first use, because most processes start without reading
// a document, and processor time limits how fast small instances start.
var schema = sync.OnceValue(func() *jsoncheck.Schema { return jsoncheck.MustCompile("document.json", schemaText) })

// Schema returns the JSON schema of service documents.
func Schema() []byte { return schemaText }

// Fault codes beyond those of the schema check.
const (
	TooLarge             jsoncheck.Code = "too_large"
	DuplicateName        jsoncheck.Code = "duplicate_name"
	DuplicateAddress     jsoncheck.Code = "duplicate_address"
	SharesOverOne        jsoncheck.Code = "shares_over_one"
	UnknownUpstream      jsoncheck.Code = "unknown_upstream"
	SlotsOverLimit       jsoncheck.Code = "slots_over_connection_limit"
	BadAddress           jsoncheck.Code = "bad_address"
	DeadlineUnderTarget  jsoncheck.Code = "deadline_under_target"
	FewConnections       jsoncheck.Code = "few_connections"
	LargeGroup           jsoncheck.Code = "large_scheduling_group"
	UnusedUpstream       jsoncheck.Code = "unused_upstream"
	HedgeBudgetOverExtra jsoncheck.Code = "hedge_budget_over_extra_budget"
)

// defaultMaxInstances is the default of the setting max_instances. An upstream's
// connection limit is divided by that setting. The validity of a document must not
// depend on settings, so the check uses the default instead of the actual
// value, and only for warnings.
const defaultMaxInstances = 10

// Fault is one fault of a document.
type Fault struct {
	jsoncheck.Fault
	// Warning marks a fault that does not make the document invalid.
	Warning bool
}

// String returns the fault on one line.
func (f Fault) String() string {
	if f.Warning {
		return "warning: " + f.Fault.String()
	}
	return f.Fault.String()
}

// shareTolerance allows for rounding in sums of decimal fractions, such as
// 0.7 + 0.2 + 0.1.
const shareTolerance = 1e-9

// decodeAndCheck decodes and checks a document. The returned document may be
// used only if all faults are warnings.
func decodeAndCheck(content []byte) (*Document, []Fault) {
	c := &checker{}
	if len(content) > MaxBytes {
		c.fault(TooLarge, "$", "the document has %d bytes, the limit is %d", len(content), MaxBytes)
		return nil, c.faults
	}
	for _, f := range jsoncheck.Check(content, schema()) {
		if f.Code == jsoncheck.BrokenJSON || f.Code == jsoncheck.TrailingData {
			return nil, []Fault{{Fault: f}}
		}
		c.faults = append(c.faults, Fault{Fault: f})
	}
	d, err := decode(content)
	if err != nil && len(c.faults) == 0 {
		c.fault(jsoncheck.WrongType, "$", "%v", err)
	}
	c.checkPriorities(d)
	c.checkOperations(d)
	c.checkUpstreams(d)
	c.checkSnapshots(d)
	if len(c.faults) == 0 {
		c.addWarnings(d)
	}
	slices.SortFunc(c.faults, func(a, b Fault) int { return jsoncheck.Compare(a.Fault, b.Fault) })
	return d, c.faults
}

type checker struct {
	faults []Fault
	// ownFaults counts the faults that this checker added to those of the
	// schema check.
	ownFaults int
}

func (c *checker) fault(code jsoncheck.Code, path, format string, args ...any) {
	c.add(false, code, path, format, args...)
}

func (c *checker) warn(code jsoncheck.Code, path, format string, args ...any) {
	c.add(true, code, path, format, args...)
}

func (c *checker) add(warning bool, code jsoncheck.Code, path, format string, args ...any) {
	if c.ownFaults >= jsoncheck.MaxFaults {
		return
	}
	c.ownFaults++
	f := jsoncheck.Fault{Path: path, Code: code, Reason: fmt.Sprintf(format, args...)}
	c.faults = append(c.faults, Fault{Fault: f, Warning: warning})
}

// checkUnique adds a fault if the value occurred before. It ignores empty
// values, which the schema check reports.
func (c *checker) checkUnique(seen map[string]string, code jsoncheck.Code, path, value string) {
	if value == "" {
		return
	}
	if first, ok := seen[value]; ok {
		c.fault(code, path, "%q is already used at %s", value, first)
		return
	}
	seen[value] = path
}

func (c *checker) checkPriorities(d *Document) {
	seen := make(map[string]string)
	sum := 0.0
	for i, p := range d.Priorities {
		path := fmt.Sprintf("$.priorities[%d]", i)
		c.checkUnique(seen, DuplicateName, path+".name", p.Name)
		sum += p.GuaranteedShare
		if p.DeadlineMS > 0 && p.DeadlineMS < p.TargetMS {
			c.fault(DeadlineUnderTarget, path+".deadline_ms", "the deadline of %d ms is below the target of %d ms", p.DeadlineMS, p.TargetMS)
		}
	}
	if sum > 1+shareTolerance {
		c.fault(SharesOverOne, "$.priorities", "the guaranteed shares add up to %.4g, more than 1", sum)
	}
}

func (c *checker) checkOperations(d *Document) {
	seen := make(map[string]string)
	for i, o := range d.Operations {
		c.checkUnique(seen, DuplicateName, fmt.Sprintf("$.operations[%d].name", i), o.Name)
	}
}

func (c *checker) checkUpstreams(d *Document) {
	names := make(map[string]string)
	addresses := make(map[string]string)
	for i, u := range d.Upstreams {
		path := fmt.Sprintf("$.upstreams[%d]", i)
		c.checkUnique(names, DuplicateName, path+".name", u.Name)
		c.checkAddress(addresses, path+".address", u.Address)
		if u.ConnectionLimit > 0 && u.Slots > u.ConnectionLimit {
			c.fault(SlotsOverLimit, path+".slots", "%d slots need as many connections, but the limit is %d", u.Slots, u.ConnectionLimit)
		}
	}
}

func (c *checker) checkAddress(seen map[string]string, path, text string) {
	if text == "" {
		return
	}
	a, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		c.fault(BadAddress, path, "%q is not ip:port", text)
	case a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast():
		c.fault(BadAddress, path, "%q is not the address of one listener", text)
	default:
		c.checkUnique(seen, DuplicateAddress, path, a.String())
	}
}

func (c *checker) checkSnapshots(d *Document) {
	upstreams := make(map[string]bool, len(d.Upstreams))
	for _, u := range d.Upstreams {
		upstreams[u.Name] = true
	}
	seen := make(map[string]string)
	for i, s := range d.Snapshots {
		path := fmt.Sprintf("$.snapshots[%d]", i)
		c.checkUnique(seen, DuplicateName, path+".id", string(s.ID))
		shards := make(map[string]string, len(s.Shards))
		for k, sh := range s.Shards {
			shardPath := fmt.Sprintf("%s.shards[%d]", path, k)
			c.checkUnique(shards, DuplicateName, shardPath+".id", string(sh.ID))
			c.checkReplicas(upstreams, shardPath, sh.Replicas)
		}
	}
}

func (c *checker) checkReplicas(upstreams map[string]bool, shardPath string, replicas []string) {
	seen := make(map[string]string, len(replicas))
	for i, r := range replicas {
		path := fmt.Sprintf("%s.replicas[%d]", shardPath, i)
		c.checkUnique(seen, DuplicateName, path, r)
		if r != "" && !upstreams[r] {
			c.fault(UnknownUpstream, path, "no upstream is named %q", r)
		}
	}
}

// warnConnections warns of a connection limit that is too low to be divided
// among the instances.
func (c *checker) warnConnections(path string, u Upstream) {
	path += ".connection_limit"
	connectionsPerInstance := u.ConnectionLimit / defaultMaxInstances
	switch {
	case connectionsPerInstance == 0:
		c.warn(FewConnections, path, "%d instances open at least one connection each, which exceeds the limit of %d",
			defaultMaxInstances, u.ConnectionLimit)
	case connectionsPerInstance < u.Slots:
		c.warn(FewConnections, path, "each of %d instances opens at most %d connections, too few for %d slots",
			defaultMaxInstances, connectionsPerInstance, u.Slots)
	}
}

// addWarnings adds warnings about content that is valid but probably unintended.
func (c *checker) addWarnings(d *Document) {
	for _, g := range d.Groups() {
		if n := len(g.Upstreams); n > MaxMergedGroup {
			c.warn(LargeGroup, "$.snapshots", "%d upstreams share shards and are scheduled by one instance; "+
				"above %d that instance may become a bottleneck", n, MaxMergedGroup)
		}
	}
	used := make(map[string]bool, len(d.Upstreams))
	for _, s := range d.Snapshots {
		for _, sh := range s.Shards {
			for _, r := range sh.Replicas {
				used[r] = true
			}
		}
	}
	for i, u := range d.Upstreams {
		path := fmt.Sprintf("$.upstreams[%d]", i)
		if !used[u.Name] {
			c.warn(UnusedUpstream, path, "no shard has a replica on %q", u.Name)
		}
		c.warnConnections(path, u)
	}
	if d.Budgets.Hedge() > d.Budgets.Extra() {
		c.warn(HedgeBudgetOverExtra, "$.budgets", "hedges may use %g of first attempts, but hedges and retries together only %g",
			d.Budgets.Hedge(), d.Budgets.Extra())
	}
}

// Package settings defines the settings of a process. The settings are JSON
// text that is checked against an embedded schema; every setting with a usual
// value has a default.
package settings

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/sardineturn/sardineturn/pkg/jsoncheck"
	"github.com/sardineturn/sardineturn/pkg/model"
)

//go:embed schema.json
var schemaText []byte

var schema = sync.OnceValue(func() *jsoncheck.Schema { return jsoncheck.MustCompile("settings.json", schemaText) })

// Schema returns the JSON schema of the settings.
func Schema() []byte { return schemaText }

// Settings are the settings of one process. They do not change while it runs.
type Settings struct {
	InstanceID model.InstanceID `json:"instance_id"`
	DataCentre model.DataCentre `json:"data_centre"`
	// Cluster is the name of the deployment. Instances of different clusters
	// are kept apart.
	Cluster        string `json:"cluster"`
	GRPCAddress    string `json:"grpc_address"`
	ControlAddress string `json:"control_address"`
	// AdvertisedControlAddress, if set, is announced to other instances instead
	// of ControlAddress.
	AdvertisedControlAddress string `json:"advertised_control_address,omitempty"`
	// PeerSourceAddress is the IP address from which connections to other
	// instances are made. If it is empty, the operating system chooses one.
	PeerSourceAddress string   `json:"peer_source_address,omitempty"`
	CallerAddress     string   `json:"caller_address"`
	OperatorAddress   string   `json:"operator_address"`
	PlatformURL       string   `json:"platform_url"`
	MaxInstances      int      `json:"max_instances"`
	BalancerLagMS     int      `json:"balancer_lag_ms"`
	LogLevel          string   `json:"log_level"`
	Seeds             []string `json:"seeds,omitempty"`
	Limits            Limits   `json:"limits"`
	// AssertInvariants ends the process when an invariant is violated.
	AssertInvariants bool `json:"assert_invariants"`
	// Profiling serves profiles of the process on the operator listener.
	Profiling bool `json:"profiling"`
	// TraceFile is the file to which decisions are recorded. If it is empty,
	// nothing is recorded.
	TraceFile string `json:"trace_file,omitempty"`
}

// Limits bound what one process holds in memory.
type Limits struct {
	MaxBodyBytes          int64 `json:"max_body_bytes"`
	MaxConcurrentRequests int   `json:"max_concurrent_requests"`
	MaxTickets            int   `json:"max_tickets"`
}

// Default values of optional settings.
const (
	DefaultMaxInstances          = 10
	DefaultBalancerLagMS         = 3000
	DefaultLogLevel              = "info"
	DefaultProfiling             = true
	DefaultMaxBodyBytes          = 1 << 20
	DefaultMaxConcurrentRequests = 10_000
	DefaultMaxTickets            = 20_000
)

// Default returns settings that hold only default values.
func Default() Settings {
	return Settings{
		MaxInstances:  DefaultMaxInstances,
		BalancerLagMS: DefaultBalancerLagMS,
		LogLevel:      DefaultLogLevel,
		Profiling:     DefaultProfiling,
		Limits: Limits{
			MaxBodyBytes:          DefaultMaxBodyBytes,
			MaxConcurrentRequests: DefaultMaxConcurrentRequests,
			MaxTickets:            DefaultMaxTickets,
		},
	}
}

// BalancerLag returns how long listeners stay open after the instance stops
// being ready.
func (s Settings) BalancerLag() time.Duration {
	return time.Duration(s.BalancerLagMS) * time.Millisecond
}

// PeerSource returns the parsed PeerSourceAddress, or the invalid zero address
// if it is empty.
func (s Settings) PeerSource() netip.Addr {
	a, _ := netip.ParseAddr(s.PeerSourceAddress)
	return a
}

// Overrides are fields that replace the fields of the same name in a settings
// text. Nested objects are merged.
type Overrides map[string]any

// Error lists every fault of a settings text.
type Error struct {
	Faults []jsoncheck.Fault
}

// Error returns one line per fault.
func (e *Error) Error() string {
	lines := []string{"invalid settings:"}
	for _, f := range e.Faults {
		lines = append(lines, "  "+f.String())
	}
	return strings.Join(lines, "\n")
}

// Load reads a settings file and applies the overrides. With an empty path, all
// settings come from the overrides.
func Load(path string, overrides Overrides) (Settings, error) {
	content := []byte("{}")
	if path != "" {
		var err error
		content, err = os.ReadFile(path)
		if err != nil {
			return Settings{}, fmt.Errorf("read settings: %w", err)
		}
	}
	return Parse(content, overrides)
}

// Parse applies the overrides to the text, checks the result and fills in the
// defaults. If the result is invalid, the error is an *Error.
func Parse(content []byte, overrides Overrides) (Settings, error) {
	merged, err := merge(content, overrides)
	if err != nil {
		return Settings{}, err
	}
	if faults := jsoncheck.Check(merged, schema()); len(faults) > 0 {
		return Settings{}, &Error{Faults: faults}
	}
	s := Default()
	if err := json.Unmarshal(merged, &s); err != nil {
		return Settings{}, &Error{Faults: []jsoncheck.Fault{{Path: "$", Code: jsoncheck.WrongType, Reason: err.Error()}}}
	}
	if faults := s.check(); len(faults) > 0 {
		return Settings{}, &Error{Faults: faults}
	}
	return s, nil
}

// merge returns the text with the overrides applied. If the text cannot be
// merged, it returns the text unchanged, and the later check reports its faults.
func merge(content []byte, overrides Overrides) ([]byte, error) {
	if len(overrides) == 0 {
		return content, nil
	}
	for _, f := range jsoncheck.Check(content, schema()) {
		if f.Code == jsoncheck.BrokenJSON || f.Code == jsoncheck.TrailingData || f.Code == jsoncheck.DuplicateKey {
			return content, nil
		}
	}
	var fields map[string]any
	if err := json.Unmarshal(content, &fields); err != nil || fields == nil {
		return content, nil
	}
	mergeObject(fields, overrides)
	merged, err := json.Marshal(fields)
	if err != nil {
		return nil, fmt.Errorf("apply overrides: %w", err)
	}
	return merged, nil
}

// mergeObject replaces fields of an object and merges nested objects.
func mergeObject(fields, overrides map[string]any) {
	for name, value := range overrides {
		current, currentIsObject := fields[name].(map[string]any)
		override, overrideIsObject := value.(map[string]any)
		if currentIsObject && overrideIsObject {
			mergeObject(current, override)
			continue
		}
		fields[name] = value
	}
}

// check finds faults that the schema does not express.
func (s Settings) check() []jsoncheck.Fault {
	var faults []jsoncheck.Fault
	add := func(path string, code jsoncheck.Code, format string, args ...any) {
		faults = append(faults, jsoncheck.Fault{Path: path, Code: code, Reason: fmt.Sprintf(format, args...)})
	}
	checkAddress := func(path, text string, announced bool) netip.AddrPort {
		a, err := netip.ParseAddrPort(text)
		switch {
		case err != nil:
			add(path, jsoncheck.BadFormat, "%q is not ip:port", text)
		case announced && (a.Addr().IsUnspecified() || a.Port() == 0):
			add(path, jsoncheck.BadValue, "%q is announced to other instances and needs a specific IP address and port", text)
		}
		return a
	}
	id := checkAddress("$.instance_id", string(s.InstanceID), true)
	grpc := checkAddress("$.grpc_address", s.GRPCAddress, false)
	checkAddress("$.control_address", s.ControlAddress, s.AdvertisedControlAddress == "")
	if s.AdvertisedControlAddress != "" {
		checkAddress("$.advertised_control_address", s.AdvertisedControlAddress, true)
	}
	checkAddress("$.caller_address", s.CallerAddress, false)
	checkAddress("$.operator_address", s.OperatorAddress, false)
	if s.PeerSourceAddress != "" {
		if _, err := netip.ParseAddr(s.PeerSourceAddress); err != nil {
			add("$.peer_source_address", jsoncheck.BadFormat, "%q is not an IP address", s.PeerSourceAddress)
		}
	}
	for i, seed := range s.Seeds {
		checkAddress(fmt.Sprintf("$.seeds[%d]", i), seed, true)
	}
	if id.IsValid() && grpc.IsValid() && id.Port() != grpc.Port() {
		add("$.grpc_address", jsoncheck.BadValue, "port %d differs from port %d of instance_id", grpc.Port(), id.Port())
	}
	u, err := url.Parse(s.PlatformURL)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		add("$.platform_url", jsoncheck.BadFormat, "%q is not an http or https URL", s.PlatformURL)
	}
	return faults
}

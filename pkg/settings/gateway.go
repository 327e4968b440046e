package settings

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"sync"
	"time"

	"github.com/sardineturn/sardineturn/pkg/jsoncheck"
	"github.com/sardineturn/sardineturn/pkg/model"
)

//go:embed gateway.schema.json
var gatewaySchemaText []byte

var gatewaySchema = sync.OnceValue(func() *jsoncheck.Schema { return jsoncheck.MustCompile("gateway.json", gatewaySchemaText) })

// GatewaySchema returns the JSON schema of the settings of a gateway.
func GatewaySchema() []byte { return gatewaySchemaText }

// Gateway holds the settings of a gateway. Unknown fields are ignored, because
// the platform may add fields.
type Gateway struct {
	Name            string           `json:"name"`
	DataCentre      model.DataCentre `json:"data_centre"`
	IP              string           `json:"ip"`
	PeerPort        uint16           `json:"peer_port"`
	PeerBindIP      string           `json:"peer_bind_ip,omitempty"`
	Seeds           []string         `json:"seeds"`
	FirstStart      bool             `json:"first_start"`
	CallerAddress   string           `json:"caller_address"`
	OperatorAddress string           `json:"operator_address"`
	MetricsPort     uint16           `json:"metrics_port"`
	StoreAddress    string           `json:"store_address"`
	LogLevel        string           `json:"log_level"`
	StopS           float64          `json:"stop_s"`
	MemoryMB        float64          `json:"memory_mb"`
	Cores           float64          `json:"cores"`
	CoreShare       float64          `json:"core_share"`
	Budget          RetryBudget      `json:"budget"`
	LoadShedding    LoadShedding     `json:"load_shedding,omitempty"`
	EvacuationMS    float64          `json:"evacuation_ms,omitempty"`
	Cold            ColdBounds       `json:"cold,omitzero"`
}

// LoadShedding says when requests are refused, and parts of queries left out, for which
// overloaded upstreams have no capacity.
type LoadShedding string

// Values of LoadShedding.
const (
	LoadSheddingOff LoadShedding = "off"
	LoadSheddingOn  LoadShedding = "on"
	// LoadSheddingAuto sheds load if data centres may be evacuated; otherwise the routes
	// of the configuration decide.
	LoadSheddingAuto LoadShedding = "auto"
)

// ColdBounds bounds the requests to a cold upstream across all instances.
type ColdBounds struct {
	Excess float64 `json:"excess"`
	Slack  float64 `json:"slack"`
}

// Defaults of ColdBounds.
const (
	DefaultColdExcess = 1.5
	DefaultColdSlack  = 5
)

// RetryBudget limits the extra attempts on a service across all instances.
type RetryBudget struct {
	Ratio     float64 `json:"ratio"`
	Allowance float64 `json:"allowance"`
	WindowS   float64 `json:"window_s"`
}

// DefaultStopS is the default time that the process may take to stop, in seconds.
const DefaultStopS = 6

// ParseGateway checks the text and fills in the defaults. If the text is
// invalid, the error is an *Error.
func ParseGateway(content []byte) (Gateway, error) {
	content = withoutNulls(content)
	if faults := jsoncheck.Check(content, gatewaySchema()); len(faults) > 0 {
		return Gateway{}, &Error{Faults: faults}
	}
	file := struct {
		Gateway
		StopMS *float64 `json:"stop_ms"`
	}{Gateway: Gateway{
		LogLevel: DefaultLogLevel, StopS: DefaultStopS, LoadShedding: LoadSheddingOff,
		Cold: ColdBounds{Excess: DefaultColdExcess, Slack: DefaultColdSlack},
	}}
	if err := json.Unmarshal(content, &file); err != nil {
		return Gateway{}, &Error{Faults: []jsoncheck.Fault{{Path: "$", Code: jsoncheck.WrongType, Reason: err.Error()}}}
	}
	s := file.Gateway
	if file.StopMS != nil {
		s.StopS = *file.StopMS / 1000
	}
	if faults := s.check(); len(faults) > 0 {
		return Gateway{}, &Error{Faults: faults}
	}
	return s, nil
}

// withoutNulls removes the members that are null, at any depth of objects. The platform's
// template yields null for a field that the platform does not state; the setting then has
// its default or, if it is required, is missing.
func withoutNulls(content []byte) []byte {
	var members map[string]json.RawMessage
	if json.Unmarshal(content, &members) != nil || members == nil {
		return content
	}
	changed := false
	for name, value := range members {
		if string(value) == "null" {
			delete(members, name)
			changed = true
		} else if cleaned := withoutNulls(value); !bytes.Equal(cleaned, value) {
			members[name] = cleaned
			changed = true
		}
	}
	if !changed {
		return content
	}
	text, err := json.Marshal(members)
	if err != nil {
		return content
	}
	return text
}

func (s Gateway) check() []jsoncheck.Fault {
	var faults []jsoncheck.Fault
	addFault := func(path, text string) {
		faults = append(faults, jsoncheck.Fault{Path: path, Code: jsoncheck.BadFormat, Reason: fmt.Sprintf("%q is no valid address", text)})
	}
	if _, err := netip.ParseAddr(s.IP); err != nil {
		addFault("$.ip", s.IP)
	}
	if _, err := netip.ParseAddr(s.PeerBindIP); s.PeerBindIP != "" && err != nil {
		addFault("$.peer_bind_ip", s.PeerBindIP)
	}
	addresses := map[string]string{"$.caller_address": s.CallerAddress, "$.operator_address": s.OperatorAddress, "$.store_address": s.StoreAddress}
	for i, seed := range s.Seeds {
		addresses[fmt.Sprintf("$.seeds[%d]", i)] = seed
	}
	for path, text := range addresses {
		if _, err := netip.ParseAddrPort(text); err != nil {
			addFault(path, text)
		}
	}
	return faults
}

// PeerAddress returns the address at which other instances reach this one.
func (s Gateway) PeerAddress() string { return s.peerAddress(netip.MustParseAddr(s.IP)) }

// PeerBindAddress returns the address that the listeners for other instances
// are bound to.
func (s Gateway) PeerBindAddress() string {
	if s.PeerBindIP == "" {
		return s.PeerAddress()
	}
	return s.peerAddress(netip.MustParseAddr(s.PeerBindIP))
}

// PeerSource returns the IP address from which connections to other instances
// are made, or the invalid zero address if the operating system chooses one.
func (s Gateway) PeerSource() netip.Addr {
	if s.PeerBindIP == "" {
		return netip.Addr{}
	}
	return netip.MustParseAddr(s.PeerBindIP)
}

// SeedAddresses returns the peer addresses of the seeds.
func (s Gateway) SeedAddresses() []string {
	out := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		out = append(out, s.peerAddress(netip.MustParseAddrPort(seed).Addr()))
	}
	return out
}

func (s Gateway) peerAddress(ip netip.Addr) string {
	return netip.AddrPortFrom(ip, s.PeerPort).String()
}

// Capacity returns the processor time that the process may use, in cores, or
// zero if the settings do not state it.
func (s Gateway) Capacity() float64 { return s.CoreShare * max(1, s.Cores) }

// Processors returns the number of processors that the process may use at a time, or zero
// if the settings do not limit it.
func (s Gateway) Processors() int { return int(math.Ceil(s.Cores)) }

// StopTime returns the time between the signal to stop and the forced end of
// the process.
func (s Gateway) StopTime() time.Duration { return secondsDuration(s.StopS) }

// BudgetWindow returns the length of the window of the retry budgets.
func (s Gateway) BudgetWindow() time.Duration { return secondsDuration(s.Budget.WindowS) }

// maxDuration replaces longer times, which a time.Duration may not be able to hold.
const maxDuration = 365 * 24 * time.Hour

func secondsDuration(seconds float64) time.Duration {
	if seconds >= maxDuration.Seconds() {
		return maxDuration
	}
	return time.Duration(seconds * float64(time.Second))
}

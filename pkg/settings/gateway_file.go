package settings

import (
	"bytes"
	"fmt"
	"os"
)

// GatewayFile is the settings file of a gateway, which may change while the gateway runs.
// It is not safe for concurrent use.
type GatewayFile struct {
	path string
	// content is what was read last, valid or not.
	content []byte
}

// NewGatewayFile returns the settings file at the path. It is not read yet.
func NewGatewayFile(path string) *GatewayFile { return &GatewayFile{path: path} }

// Read reads the file. If the content is that of the previous call, changed is false and
// the settings are zero. If the content is invalid, the error is an *Error.
func (f *GatewayFile) Read() (s Gateway, changed bool, err error) {
	content, err := os.ReadFile(f.path)
	if err != nil {
		return Gateway{}, true, fmt.Errorf("read settings: %w", err)
	}
	if f.content != nil && bytes.Equal(content, f.content) {
		return Gateway{}, false, nil
	}
	f.content = content
	s, err = ParseGateway(content)
	return s, true, err
}

// AtRunTime returns the settings that a process with the settings s puts into force when
// its file changes to next, and the names of the changed settings that it cannot put into
// force. These are bound to listeners or to the identity of the instance; they keep their
// values until the process ends. first_start only matters at a start.
func (s Gateway) AtRunTime(next Gateway) (inForce Gateway, fixed []string) {
	inForce = next
	keep(&fixed, "name", s.Name, &inForce.Name)
	keep(&fixed, "data_centre", s.DataCentre, &inForce.DataCentre)
	keep(&fixed, "ip", s.IP, &inForce.IP)
	keep(&fixed, "peer_port", s.PeerPort, &inForce.PeerPort)
	keep(&fixed, "peer_bind_ip", s.PeerBindIP, &inForce.PeerBindIP)
	keep(&fixed, "caller_address", s.CallerAddress, &inForce.CallerAddress)
	keep(&fixed, "operator_address", s.OperatorAddress, &inForce.OperatorAddress)
	keep(&fixed, "metrics_port", s.MetricsPort, &inForce.MetricsPort)
	inForce.FirstStart = s.FirstStart
	return inForce, fixed
}

// keep sets a setting back to the value that it has in the process, and adds its name to
// the list if that is another value.
func keep[T comparable](names *[]string, name string, value T, setting *T) {
	if *setting != value {
		*names = append(*names, name)
		*setting = value
	}
}

// Package replay records the decisions of a live process in a trace and repeats
// them from the trace with the same decision code. A trace is a sequence of JSON
// lines. Each line is one call of a component, with its time, its arguments, the
// ids that were generated during the call, and the result.
package replay

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
)

// Names of the components whose lines a trace holds.
const (
	componentScheduler  = "scheduler"
	componentOrders     = "orders"
	componentQuery      = "query"
	componentCatalog    = "catalog"
	componentFetchPlan  = "fetch"
	componentReader     = "reader"
	componentMembership = "membership"
	componentPhase      = "phase"
	// componentList is for lines that hold the platform's list of upstreams.
	componentList = "list"
	// componentContent is for lines that hold a document's bytes, to which other
	// lines refer.
	componentContent = "content"
	// componentFact is for lines that hold a change that a scenario made outside
	// the instances.
	componentFact = "fact"
)

// line is one line of a trace: a call of a component, or input to the checks.
type line struct {
	// Process distinguishes the processes of one trace.
	Process   string `json:"process,omitempty"`
	Component string `json:"component"`
	// Key distinguishes the objects of a component, such as groups, queries or
	// ticket shards.
	Key  string            `json:"key"`
	Call string            `json:"call"`
	Time time.Time         `json:"time"`
	Args json.RawMessage   `json:"args"`
	IDs  []model.AttemptID `json:"ids,omitempty"`
	Out  json.RawMessage   `json:"out"`
}

// Trace writes the lines of a trace. It is safe for concurrent use. The lines of
// one object are in the order of its calls, because the owner of the object holds
// a lock during each call.
type Trace struct {
	mu      sync.Mutex
	enc     *json.Encoder
	err     error
	process string
	// writtenContents holds the documents whose bytes the trace already has.
	writtenContents map[contentRef]bool
	queries         atomic.Uint64
}

// NewTrace returns a trace that writes to w.
func NewTrace(w io.Writer) *Trace {
	return &Trace{enc: json.NewEncoder(w), writtenContents: make(map[contentRef]bool)}
}

// SetProcess sets the process that all following lines name.
func (t *Trace) SetProcess(id model.InstanceID, boot model.BootID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.process = fmt.Sprintf("%s/%x", id, uint64(boot))
}

// Err returns the first error that occurred while writing.
func (t *Trace) Err() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.err
}

func (t *Trace) write(l line) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l.Process = t.process
	if t.err == nil {
		t.err = t.enc.Encode(l)
	}
}

// objectKey returns a key that is unique to the line's object among the objects
// of all processes of a trace.
func (l line) objectKey() string { return l.Component + " " + l.Process + " " + l.Key }

// recorder writes the calls of one object to a trace. The recording types of all
// components embed it.
type recorder struct {
	trace     *Trace
	component string
	key       string
	newID     func() model.AttemptID
	// generatedIDs holds the ids that were generated since the object's last line.
	generatedIDs []model.AttemptID
}

func (r *recorder) generateID() model.AttemptID {
	id := r.newID()
	r.generatedIDs = append(r.generatedIDs, id)
	return id
}

func (r *recorder) record(call string, now time.Time, args, out any) {
	r.trace.write(line{
		Component: r.component,
		Key:       r.key,
		Call:      call,
		Time:      now,
		Args:      encode(args),
		IDs:       r.generatedIDs,
		Out:       encode(out),
	})
	r.generatedIDs = nil
}

// encode marshals a value of the types that traces hold, which can't fail.
func encode(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err))
	}
	return b
}

// withoutMonotonic strips the monotonic clock reading, which a trace can't hold,
// so that the recorded run and its replay use the same times.
func withoutMonotonic(t time.Time) time.Time { return t.Round(0).UTC() }

// typedAction is an action with the name of its Go type, as written to a trace.
type typedAction struct {
	Type   string `json:"type"`
	Action any    `json:"action"`
}

func typedActions[T any](actions []T) []typedAction {
	out := make([]typedAction, 0, len(actions))
	for _, a := range actions {
		out = append(out, typedAction{Type: fmt.Sprintf("%T", a), Action: a})
	}
	return out
}

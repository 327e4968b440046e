// Package replay records what a live process decides and runs the records
// through the same decision code again. A trace is JSON lines: each line is one
// call of a component with its time, arguments, the ids that it drew and what
// it returned.
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

// Components of a trace.
const (
	componentScheduler  = "scheduler"
	componentOrders     = "orders"
	componentQuery      = "query"
	componentCatalog    = "catalog"
	componentFetchPlan  = "fetch"
	componentReader     = "reader"
	componentMembership = "membership"
	componentPhase      = "phase"
	// componentList is the platform's list of upstreams.
	componentList = "list"
	// componentContent holds a document's bytes, to which other lines refer.
	componentContent = "content"
	// componentFact is what a scenario did to the outside systems.
	componentFact = "fact"
)

// line is one call.
type line struct {
	// Process tells apart the processes of one trace.
	Process   string `json:"process,omitempty"`
	Component string `json:"component"`
	// Key tells apart the component's objects: a group or a ticket shard.
	Key  string            `json:"key"`
	Call string            `json:"call"`
	Time time.Time         `json:"time"`
	Args json.RawMessage   `json:"args"`
	IDs  []model.AttemptID `json:"ids,omitempty"`
	Out  json.RawMessage   `json:"out"`
}

// Trace writes lines. It is safe for concurrent use. The lines of one object
// are in the order of its calls, because its owner makes them under a lock.
type Trace struct {
	mu      sync.Mutex
	enc     *json.Encoder
	err     error
	process string
	// contents holds the documents written so far.
	contents map[contentRef]bool
	queries  atomic.Uint64
}

// NewTrace returns a trace that writes to w.
func NewTrace(w io.Writer) *Trace {
	return &Trace{enc: json.NewEncoder(w), contents: make(map[contentRef]bool)}
}

// SetProcess names the process in all lines from now on.
func (t *Trace) SetProcess(id model.InstanceID, boot model.BootID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.process = fmt.Sprintf("%s/%x", id, uint64(boot))
}

// Err returns the first error of writing.
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

// object returns the name of the line's object, over all processes of a trace.
func (l line) objectKey() string { return l.Component + " " + l.Process + " " + l.Key }

// object is what the recorders of all components share.
type recorder struct {
	trace     *Trace
	component string
	key       string
	newID     func() model.AttemptID
	// drawn holds the ids drawn since the last line.
	generatedIDs []model.AttemptID
}

func (o *recorder) generateID() model.AttemptID {
	id := o.newID()
	o.generatedIDs = append(o.generatedIDs, id)
	return id
}

func (o *recorder) record(call string, at time.Time, args, out any) {
	o.trace.write(line{
		Component: o.component,
		Key:       o.key,
		Call:      call,
		Time:      at,
		Args:      encode(args),
		IDs:       o.generatedIDs,
		Out:       encode(out),
	})
	o.generatedIDs = nil
}

// encode marshals a value of this package's types, which can't fail.
func encode(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err))
	}
	return b
}

// wall drops the monotonic clock reading, which a trace can't hold, so that
// the recorded run and its replay compute with the same times.
func withoutMonotonic(t time.Time) time.Time { return t.Round(0).UTC() }

// typed names an action's type in a trace.
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

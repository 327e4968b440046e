package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
)

const (
	defaultPageSize = 10000
	maxAdminBytes   = 8 << 20
)

// NamedAddress names an upstream in the answer of GET /admin/upstreams and in the line
// that the command prints when it is ready.
type NamedAddress struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Host holds all upstreams of a process and the admin listener that they share.
type Host struct {
	Upstreams []*Upstream
	Log       *Log

	listener net.Listener
	server   *http.Server
}

// StartHost starts count upstreams, named by prefix and number, and the admin listener.
// The upstreams listen on the IP address ip, on consecutive ports that start at
// basePort if it is positive, and otherwise on free ports. The n-th upstream, counted
// from 0, gets the seed seed+n.
func StartHost(ip, prefix string, count, basePort int, adminAddress string, b Behaviour, seed uint64) (*Host, error) {
	h := &Host{Log: NewLog()}
	for i := range count {
		port := 0
		if basePort > 0 {
			port = basePort + i
		}
		address := net.JoinHostPort(ip, strconv.Itoa(port))
		u, err := Start(fmt.Sprintf("%s%d", prefix, i), address, b, h.Log, seed+uint64(i))
		if err != nil {
			h.Close()
			return nil, err
		}
		h.Upstreams = append(h.Upstreams, u)
	}
	var err error
	h.listener, err = net.Listen("tcp", adminAddress)
	if err != nil {
		h.Close()
		return nil, err
	}
	h.server = &http.Server{Handler: h.handler()}
	go func() { _ = h.server.Serve(h.listener) }()
	return h, nil
}

// AdminAddress returns the admin listener's "ip:port".
func (h *Host) AdminAddress() string { return h.listener.Addr().String() }

// List returns the names and addresses of the upstreams.
func (h *Host) List() []NamedAddress {
	out := make([]NamedAddress, 0, len(h.Upstreams))
	for _, u := range h.Upstreams {
		out = append(out, NamedAddress{Name: u.Name, Address: u.Address()})
	}
	return out
}

// Close closes the admin listener and all upstreams without waiting for requests in
// flight.
func (h *Host) Close() {
	if h.server != nil {
		_ = h.server.Close()
	}
	for _, u := range h.Upstreams {
		u.Close()
	}
}

// Shutdown stops the upstreams' listeners, waits for requests in flight until ctx is
// done, and closes the admin listener last, so that the log can be read until then.
func (h *Host) Shutdown(ctx context.Context) {
	var wg sync.WaitGroup
	for _, u := range h.Upstreams {
		wg.Go(func() { u.Shutdown(ctx) })
	}
	wg.Wait()
	h.Close()
}

func (h *Host) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /admin/faults", h.actionHandler(setFaults))
	mux.HandleFunc("POST /admin/index", h.actionHandler(setIndex))
	mux.HandleFunc("POST /admin/index/add", h.actionHandler(addShards))
	mux.HandleFunc("POST /admin/index/remove", h.actionHandler(removeShards))
	mux.HandleFunc("POST /admin/repartition", h.repartition)
	mux.HandleFunc("POST /admin/crash", h.actionHandler(crashUpstream))
	mux.HandleFunc("POST /admin/drop-connections", h.actionHandler(dropConnections))
	mux.HandleFunc("POST /admin/cold-start", h.actionHandler(startCold))
	mux.HandleFunc("POST /admin/reset", h.reset)
	mux.HandleFunc("GET /admin/upstreams", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.List()) })
	mux.HandleFunc("GET /admin/faults", h.faults)
	mux.HandleFunc("GET /admin/counters", h.counters)
	mux.HandleFunc("GET /admin/executions", h.executions)
	mux.HandleFunc("GET /admin/duplicates", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.Log.duplicates()) })
	return mux
}

// selected returns the upstreams that the query parameters "upstream" select by name
// or address, or all upstreams if there is no such parameter.
func (h *Host) selected(r *http.Request) []*Upstream {
	names := r.URL.Query()["upstream"]
	if len(names) == 0 {
		return h.Upstreams
	}
	var out []*Upstream
	for _, name := range names {
		if u := h.find(name); u != nil {
			out = append(out, u)
		}
	}
	return out
}

func (h *Host) find(name string) *Upstream {
	for _, u := range h.Upstreams {
		if u.Name == name || u.Address() == name {
			return u
		}
	}
	return nil
}

// actionHandler returns a handler that calls act with the request's JSON body for each
// selected upstream.
func (h *Host) actionHandler(act func(*Upstream, []byte) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAdminBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		selected := h.selected(r)
		if len(selected) == 0 {
			http.Error(w, "no such upstream", http.StatusNotFound)
			return
		}
		for _, u := range selected {
			if err := act(u, body); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
		}
		writeJSON(w, map[string]int{"upstreams": len(selected)})
	}
}

// setFaults replaces the settings that the body contains and keeps the others.
func setFaults(u *Upstream, body []byte) error {
	b := u.Behaviour()
	// Maps are replaced as a whole, and the misreport is copied. Otherwise decoding
	// would change the maps and the misreport of the present behaviour, which requests
	// read at the same time.
	service, shardSlowdown := b.Service, b.ShardSlowdown
	b.Service, b.ShardSlowdown = nil, nil
	if b.Misreport != nil {
		report := *b.Misreport
		b.Misreport = &report
	}
	if err := json.Unmarshal(body, &b); err != nil {
		return err
	}
	if b.Service == nil {
		b.Service = service
	}
	if b.ShardSlowdown == nil {
		b.ShardSlowdown = shardSlowdown
	}
	u.SetBehaviour(b)
	return nil
}

func setIndex(u *Upstream, body []byte) error {
	var index map[string][]string
	if err := json.Unmarshal(body, &index); err != nil {
		return err
	}
	u.SetIndex(index)
	return nil
}

// shardsRequest is the body of the actions that add, remove or move shards. Only
// /admin/repartition reads From and To, which are names or addresses of upstreams.
type shardsRequest struct {
	Snapshot string   `json:"snapshot"`
	Shards   []string `json:"shards"`
	From     string   `json:"from"`
	To       string   `json:"to"`
}

func addShards(u *Upstream, body []byte) error {
	var req shardsRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return err
	}
	u.AddShards(req.Snapshot, req.Shards)
	return nil
}

func removeShards(u *Upstream, body []byte) error {
	var req shardsRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return err
	}
	u.RemoveShards(req.Snapshot, req.Shards)
	return nil
}

func crashUpstream(u *Upstream, body []byte) error {
	req := struct {
		RefuseMS *float64 `json:"refuse_ms"`
	}{}
	if len(body) > 0 {
		if err := json.Unmarshal(body, &req); err != nil {
			return err
		}
	}
	b := u.Behaviour()
	if req.RefuseMS != nil {
		b.CrashRefuseMS = *req.RefuseMS
	}
	u.crashNow(b)
	return nil
}

func dropConnections(u *Upstream, _ []byte) error {
	u.DropConnections()
	return nil
}

func startCold(u *Upstream, _ []byte) error {
	u.StartCold()
	return nil
}

// repartition moves shards of a snapshot from one upstream to another. For a moment,
// both upstreams hold the shards.
func (h *Host) repartition(w http.ResponseWriter, r *http.Request) {
	var req shardsRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	from, to := h.find(req.From), h.find(req.To)
	if from == nil || to == nil || len(req.Shards) == 0 {
		http.Error(w, "from, to and shards are needed", http.StatusBadRequest)
		return
	}
	to.AddShards(req.Snapshot, req.Shards)
	from.RemoveShards(req.Snapshot, req.Shards)
	writeJSON(w, map[string]int{"shards": len(req.Shards)})
}

func (h *Host) reset(w http.ResponseWriter, _ *http.Request) {
	h.Log.reset()
	for _, u := range h.Upstreams {
		u.resetCounters()
	}
	writeJSON(w, map[string]bool{"reset": true})
}

func (h *Host) faults(w http.ResponseWriter, r *http.Request) {
	out := make(map[string]Behaviour)
	for _, u := range h.selected(r) {
		out[u.Name] = u.Behaviour()
	}
	writeJSON(w, out)
}

func (h *Host) counters(w http.ResponseWriter, r *http.Request) {
	out := make(map[string]Counters)
	for _, u := range h.selected(r) {
		out[u.Name] = u.Counters()
	}
	writeJSON(w, out)
}

func (h *Host) executions(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.Atoi(q.Get("since"))
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 {
		limit = defaultPageSize
	}
	ordersOnly, _ := strconv.ParseBool(q.Get("orders"))
	writeJSON(w, h.Log.page(since, limit, ordersOnly))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

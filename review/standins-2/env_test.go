package standins

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the file that lists what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	out   *bufio.Writer
	file  *os.File
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// env is the environment of one run.
type env struct {
	trouble bool
	record  *record
	dir     string
	// network is the second and third byte of the loopback addresses of the run.
	network  string
	store    *store
	gateways []*gateway
	relay    *relay
	runs     runLog
	// started is true once the whole system has started for the first time.
	started bool
	closers []func()
}

func newEnv(recordFile string, trouble bool) (*env, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	e := &env{trouble: trouble, dir: dir, record: &record{start: time.Now(), out: bufio.NewWriter(f), file: f}}
	e.network = fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, time.Now().UnixNano()/1e6%250)
	e.runs.record = e.record
	e.store = newStore(e.record)
	return e, nil
}

func (e *env) stopProcesses() {
	for _, g := range e.gateways {
		g.kill()
	}
}

func (e *env) close() {
	e.stopProcesses()
	for _, c := range e.closers {
		c()
	}
	e.store.close()
	e.record.close()
	_ = os.RemoveAll(e.dir)
}

// Ports of the gateways. Each gateway has an address of its own.
const (
	frontPort = 8101
	readyPort = 8102
	innerPort = 8103
)

// settings returns the fields of a machine's settings, with the values of a small
// deployment.
func (e *env) settings(i int, storeAddress string, graceS json.Number) map[string]any {
	ip := e.advertisedIP(i)
	var seeds []string
	for s := range min(3, len(e.gateways)) {
		seeds = append(seeds, net.JoinHostPort(e.advertisedIP(s), "8104"))
	}
	return map[string]any{
		"node_name": fmt.Sprintf("front-dc%d-%d", i%3+1, i+1), "zone": fmt.Sprintf("dc%d", i%3+1), "ip": ip,
		"inner_ports": []int{innerPort, innerPort + 15}, "seeds": seeds, "first_start": !e.started,
		"listen":   map[string]any{"front": net.JoinHostPort(ip, strconv.Itoa(frontPort)), "ready_addr": net.JoinHostPort(ip, strconv.Itoa(readyPort))},
		"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284},
		"bounds":   map[string]any{"grace_s": graceS, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_extra": 58},
		"platform": map[string]any{"address": storeAddress},
	}
}

// advertisedIP is the address at which callers and other gateways reach gateway i.
func (e *env) advertisedIP(i int) string { return fmt.Sprintf("%s.%d", e.network, 101+i) }

// bindIP is the address at which gateway i listens for other gateways if a relay stands
// between them.
func (e *env) bindIP(i int) string { return fmt.Sprintf("%s.%d", e.network, 11+i) }

// render fills in the template of the deploy file. The template uses placeholders of the
// form {{a.b|json}} only.
func render(template string, fields map[string]any) (string, error) {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(template, "{{")
		out.WriteString(before)
		if !found {
			return out.String(), nil
		}
		name, after, _ := strings.Cut(rest, "}}")
		path, asJSON := strings.CutSuffix(name, "|json")
		if !asJSON {
			return "", fmt.Errorf("placeholder %q is not handled", name)
		}
		var v any = fields
		for _, key := range strings.Split(path, ".") {
			switch t := v.(type) {
			case map[string]any:
				v = t[key]
			case []int:
				n, _ := strconv.Atoi(key)
				v = t[n]
			}
		}
		text, err := json.Marshal(v)
		if err != nil {
			return "", err
		}
		out.Write(text)
		template = after
	}
}

// gateway is one gateway process. It is started again whenever it ends, like on the
// users' platform, until it is stopped for good.
type gateway struct {
	e            *env
	index        int
	settingsFile string

	mu      sync.Mutex
	process *os.Process
	starts  int
	stopped bool
	// changed is signalled when a process has ended.
	ended chan struct{}
}

// restartDelay is the time after which a process that ended is started again.
const restartDelay = 300 * time.Millisecond

func (e *env) addGateways(n int) {
	for i := range n {
		e.gateways = append(e.gateways, &gateway{e: e, index: i, settingsFile: filepath.Join(e.dir, fmt.Sprintf("local-%d.toml", i)), ended: make(chan struct{}, 100)})
	}
}

// writeSettings renders the template with the fields and places the result at the
// location of the settings file.
func (g *gateway) writeSettings(fields map[string]any) error {
	template, err := os.ReadFile("deploy/settings.json.tmpl")
	if err != nil {
		return err
	}
	text, err := render(string(template), fields)
	if err != nil {
		return err
	}
	if g.e.relay != nil {
		// Traffic between gateways passes a relay, like address translation.
		text = strings.Replace(text, "{", `{ "peer_bind_ip": "`+g.e.bindIP(g.index)+`",`, 1)
	}
	tmp := g.settingsFile + ".new"
	if err := os.WriteFile(tmp, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(tmp, g.settingsFile)
}

func (g *gateway) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return nil
	}
	logFile, err := os.OpenFile(filepath.Join(g.e.dir, fmt.Sprintf("gateway-%d.log", g.index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/sardineturn", "gateway", "--settings", g.settingsFile)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	g.process, g.starts = cmd.Process, g.starts+1
	g.e.record.logf("gateway %d starts", g.index)
	go func() {
		err := cmd.Wait()
		_ = logFile.Close()
		g.e.record.logf("gateway %d ended: %v", g.index, err)
		g.ended <- struct{}{}
		time.Sleep(restartDelay)
		_ = g.start()
	}()
	return nil
}

func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process != nil {
		g.e.record.logf("gateway %d gets %v", g.index, s)
		_ = g.process.Signal(s)
	}
}

// kill ends the process for good.
func (g *gateway) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	if g.process != nil {
		_ = g.process.Kill()
	}
}

func (g *gateway) frontAddress() string {
	return net.JoinHostPort(g.e.advertisedIP(g.index), strconv.Itoa(frontPort))
}

func (g *gateway) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + net.JoinHostPort(g.e.advertisedIP(g.index), strconv.Itoa(readyPort)) + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startGateways starts n gateways that read the store at the addresses, and waits until
// they are ready.
func (e *env) startGateways(n int, storeAddress func(i int) string) error {
	e.addGateways(n)
	for i, g := range e.gateways {
		if err := g.writeSettings(e.settings(i, storeAddress(i), "6")); err != nil {
			return err
		}
		if err := g.start(); err != nil {
			return err
		}
	}
	return e.waitReady(15 * time.Second)
}

func (e *env) waitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, g := range e.gateways {
		for !g.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("gateway %d is not ready after %s", g.index, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	e.record.logf("all gateways are ready")
	e.started = true
	return nil
}

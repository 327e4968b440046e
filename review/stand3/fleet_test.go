package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the time after which the platform starts an ended process again.
const restartDelay = 200 * time.Millisecond

// fleet is a small deployment of gateways, each with a loopback address of its own.
type fleet struct {
	program, dir string
	gateways     []*gateway
}

// gateway is one machine of class front. Its process is started again when it ends.
type gateway struct {
	name, ip, zone string
	ports          ports
	settingsFile   string
	settings       map[string]any
	dir, program   string

	mu      sync.Mutex
	process *os.Process
	done    chan struct{}
	closed  bool
	ends    []string
}

type ports struct{ caller, operator, peer, metrics int }

// newFleet prepares n gateways in three zones, with the settings that the template of the
// deploy file yields for a small deployment.
func newFleet(program, dir, storeAddress string, n int, allowance float64) (*fleet, error) {
	f := &fleet{program: program, dir: dir}
	network := 20 + os.Getpid()%200
	ip := func(i int) string { return fmt.Sprintf("127.%d.7.%d", network, i+1) }
	p, err := freePorts(n, ip)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for i := range min(3, n) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip(i), p.operator))
	}
	for i := range n {
		g := &gateway{name: fmt.Sprintf("front-%d", i+1), ip: ip(i), zone: zones[i%len(zones)], ports: p, dir: dir, program: program}
		g.settingsFile = filepath.Join(dir, g.name+".json")
		g.settings = map[string]any{
			"name": g.name, "data_centre": g.zone, "ip": g.ip, "peer_port": p.peer, "seeds": seeds, "first_start": true,
			"caller_address": g.callerAddress(), "operator_address": fmt.Sprintf("%s:%d", g.ip, p.operator), "metrics_port": p.metrics,
			"store_address": storeAddress, "stop_s": 6, "memory_mb": 284, "cores": 1, "core_share": 0.4, "load_shedding": "auto", "evacuation_ms": nil,
			"budget": map[string]any{"ratio": 0.2, "allowance": allowance, "window_s": 10},
			"cold":   map[string]any{"excess": nil, "slack": nil},
		}
		f.gateways = append(f.gateways, g)
	}
	running.Store(f)
	return f, nil
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// freePorts returns ports that are free at all addresses.
func freePorts(n int, ip func(int) string) (ports, error) {
	var found []int
	for port := 21000 + os.Getpid()%7000; port < 31000 && len(found) < 4; port++ {
		free := true
		for i := range n {
			address := fmt.Sprintf("%s:%d", ip(i), port)
			l, err := net.Listen("tcp", address)
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
			u, err := net.ListenPacket("udp", address)
			if err != nil {
				free = false
				break
			}
			_ = u.Close()
		}
		if free {
			found = append(found, port)
		}
	}
	if len(found) < 4 {
		return ports{}, fmt.Errorf("no free ports")
	}
	return ports{caller: found[0], operator: found[1], peer: found[2], metrics: found[3]}, nil
}

func (g *gateway) callerAddress() string { return fmt.Sprintf("%s:%d", g.ip, g.ports.caller) }

func (g *gateway) writeSettings() error {
	text, err := json.Marshal(g.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(g.settingsFile, text, 0o644)
}

func (f *fleet) start() error {
	for _, g := range f.gateways {
		if err := g.launch(); err != nil {
			return err
		}
	}
	return nil
}

// launch starts the process and, unless the fleet is closed, starts it again when it ends.
func (g *gateway) launch() error {
	if err := g.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(g.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(g.program, "gateway", "--settings", g.settingsFile)
	cmd.Stdout, cmd.Stderr = log, log
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	g.process, g.done = cmd.Process, make(chan struct{})
	go g.supervise(cmd, g.done, log)
	return nil
}

func (g *gateway) supervise(cmd *exec.Cmd, done chan struct{}, log *os.File) {
	err := cmd.Wait()
	_ = log.Close()
	close(done)
	g.mu.Lock()
	g.ends = append(g.ends, fmt.Sprint(err))
	g.settings["first_start"] = false
	closed := g.closed
	g.mu.Unlock()
	if closed {
		return
	}
	time.Sleep(restartDelay)
	_ = g.launch()
}

func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process != nil {
		_ = g.process.Signal(s)
	}
}

// close ends all processes and waits for their ends.
func (f *fleet) close() {
	for _, g := range f.gateways {
		g.mu.Lock()
		g.closed = true
		done := g.done
		if g.process != nil {
			_ = g.process.Signal(syscall.SIGCONT)
			_ = g.process.Kill()
		}
		g.mu.Unlock()
		if done != nil {
			<-done
		}
	}
}

// ready reports whether all gateways answer the readiness check with 200.
func (f *fleet) ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, g := range f.gateways {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/ready", g.ip, g.ports.operator))
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

func (f *fleet) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if f.ready() {
			return true
		}
	}
	return false
}

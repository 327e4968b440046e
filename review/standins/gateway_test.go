package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// gatewayProgram is where the build line of the deploy file places the program.
const gatewayProgram = "target/sardineturn"

// ports are the ports that all gateways of a run use, each on its own loopback address.
type ports struct{ peer, caller, ready int }

// gatewayProcess is one gateway, started as the deploy file says.
type gatewayProcess struct {
	name, ip string
	ports    ports
	cmd      *exec.Cmd
	log      *os.File
}

// findPorts returns ports that are free on all addresses.
func findPorts(ips []string) (ports, error) {
	var found []int
	for port := 21000 + os.Getpid()%2000; port < 30000 && len(found) < 3; port++ {
		if freeOnAll(ips, port) {
			found = append(found, port)
		}
	}
	if len(found) < 3 {
		return ports{}, fmt.Errorf("no free ports")
	}
	return ports{found[0], found[1], found[2]}, nil
}

func freeOnAll(ips []string, port int) bool {
	for _, ip := range ips {
		address := fmt.Sprintf("%s:%d", ip, port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			return false
		}
		_ = l.Close()
		u, err := net.ListenPacket("udp", address)
		if err != nil {
			return false
		}
		_ = u.Close()
	}
	return true
}

// startGateways starts one gateway on each address, with the settings of a small
// deployment, and waits until all are ready.
func startGateways(rec *recorder, dir string, storeAddress string, n int) ([]*gatewayProcess, error) {
	var ips, seeds []string
	for i := range n {
		ips = append(ips, fmt.Sprintf("127.0.0.%d", 11+i))
	}
	p, err := findPorts(ips)
	if err != nil {
		return nil, err
	}
	for _, ip := range ips[:min(3, n)] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, p.peer))
	}
	var all []*gatewayProcess
	for i, ip := range ips {
		name := fmt.Sprintf("front-%d", i+1)
		settings := map[string]any{
			"name": name, "data_centre": fmt.Sprintf("zone-%d", i%3+1), "ip": ip, "peer_port": p.peer, "seeds": seeds, "first_start": true,
			"caller_address": fmt.Sprintf("%s:%d", ip, p.caller), "operator_address": fmt.Sprintf("%s:%d", ip, p.ready), "store_address": storeAddress,
			"stop_ms": 6000, "memory_mb": 284, "cores": 1, "core_share": 0.4,
			"budget": map[string]any{"ratio": 0.2, "allowance": 58, "window_s": 10},
		}
		text, err := json.Marshal(settings)
		if err != nil {
			return all, err
		}
		path := filepath.Join(dir, name+".json")
		if err := os.WriteFile(path, text, 0o600); err != nil {
			return all, err
		}
		log, err := os.Create(filepath.Join(dir, name+".log"))
		if err != nil {
			return all, err
		}
		g := &gatewayProcess{name: name, ip: ip, ports: p, log: log}
		g.cmd = exec.Command(gatewayProgram, "gateway", "--settings", path)
		g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + dir}
		g.cmd.Stdout, g.cmd.Stderr = log, log
		// The gateway ends with this process, however it ends.
		g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := g.cmd.Start(); err != nil {
			return all, err
		}
		rec.printf("gateway %s starts at %s", name, ip)
		all = append(all, g)
	}
	for _, g := range all {
		if !g.waitReady(10 * time.Second) {
			return all, fmt.Errorf("gateway %s does not become ready", g.name)
		}
	}
	return all, nil
}

func (g *gatewayProcess) callerAddress() string { return fmt.Sprintf("%s:%d", g.ip, g.ports.caller) }

func (g *gatewayProcess) waitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/ready", g.ip, g.ports.ready))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// stopGateways ends all gateways that this run started.
func stopGateways(all []*gatewayProcess) {
	for _, g := range all {
		_ = g.cmd.Process.Signal(syscall.SIGKILL)
		_ = g.cmd.Wait()
		_ = g.log.Close()
	}
}

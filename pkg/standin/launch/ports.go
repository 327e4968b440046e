package launch

import (
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
)

// Ports are picked below the usual range of ephemeral ports. From that range, an outgoing
// connection could take a port after it was picked and before a process listens on it.
const (
	firstPort       = 15000
	portCount       = 15000
	maxPickAttempts = 1000
)

var (
	pickedPortsMu sync.Mutex
	pickedPorts   = make(map[int]bool)
)

// FreeAddress returns an "ip:port" that is free for TCP and UDP, and that this
// process has not returned before.
func FreeAddress(ip string) (string, error) {
	pickedPortsMu.Lock()
	defer pickedPortsMu.Unlock()
	for range maxPickAttempts {
		port := firstPort + rand.IntN(portCount)
		address := net.JoinHostPort(ip, strconv.Itoa(port))
		if !pickedPorts[port] && isFreeAddress(address) {
			pickedPorts[port] = true
			return address, nil
		}
	}
	return "", errors.New("no free port found")
}

// isFreeAddress reports whether the address can be bound for both TCP and UDP.
func isFreeAddress(address string) bool {
	tcp, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer tcp.Close()
	udp, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	_ = udp.Close()
	return true
}

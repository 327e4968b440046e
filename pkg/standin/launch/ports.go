package launch

import (
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
)

// Ports are picked below the usual range of outgoing connections, so that no
// connection takes a port between the pick and its use.
const (
	firstPort    = 15000
	portCount    = 15000
	pickAttempts = 1000
)

var (
	pickedMu sync.Mutex
	picked   = make(map[int]bool)
)

// FreeAddress returns an "ip:port" that is free for TCP and UDP, and that this
// process has not returned before.
func FreeAddress(ip string) (string, error) {
	pickedMu.Lock()
	defer pickedMu.Unlock()
	for range pickAttempts {
		port := firstPort + rand.IntN(portCount)
		address := net.JoinHostPort(ip, strconv.Itoa(port))
		if !picked[port] && isFree(address) {
			picked[port] = true
			return address, nil
		}
	}
	return "", errors.New("no free port found")
}

func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer l.Close()
	p, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	_ = p.Close()
	return true
}

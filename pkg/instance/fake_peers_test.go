package instance

import (
	"context"
	"slices"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// controlPort implements port.Control: it carries datagrams between the hosts and
// loses, delays, duplicates and misroutes them.
type controlPort struct{ process *process }

func (c controlPort) Send(address string, datagram []byte) {
	sim, from, faults := c.process.sim, c.process.host, c.process.sim.currentMessageFaults()
	copies := 1
	if sim.chance(faults.duplicated) {
		copies = 2
	}
	for range copies {
		delay := sim.networkDelay()
		if sim.chance(faults.delayed) {
			delay = sim.randomBetween(50*time.Millisecond, 1500*time.Millisecond)
		}
		to := slices.IndexFunc(sim.hosts, func(h *host) bool { return h.controlAddress == address })
		if sim.chance(faults.misrouted) {
			to = int(sim.randomBetween(0, time.Duration(len(sim.hosts)-1)))
		}
		if to < 0 || sim.chance(faults.lost) {
			continue
		}
		go func() {
			if !c.process.awaitRunning() {
				return
			}
			time.Sleep(delay)
			p := sim.hosts[to].currentProcess()
			if sim.linkIsCut(from.index, to) || p == nil || !p.awaitRunning() {
				return
			}
			p.instance.HandleDatagram(from.controlAddress, slices.Clone(datagram))
		}()
	}
}

// peerPort implements port.Peers: it calls the handlers of other hosts' processes
// over a network that can lose, delay and duplicate messages.
type peerPort struct{ process *process }

var errPeerUnreachable = result.Errorf(result.PeerUnreachable, "no connection")

// call sends a message to a peer and returns the peer's answer. The message itself
// arrives at most once. With the probability duplicateChance, call also sends a
// duplicate up to 2 s later and drops the answer to it.
func (c peerPort) call(ctx context.Context, to model.InstanceID, duplicateChance float64, handle func(context.Context, *Instance) any) (any, error) {
	sim, p := c.process.sim, c.process
	lost := result.Errorf(result.PeerLost, "connection lost")
	if !p.awaitRunning() {
		return nil, lost
	}
	index := slices.IndexFunc(sim.hosts, func(h *host) bool { return h.id == to })
	if index < 0 {
		return nil, errPeerUnreachable
	}
	peer, from := sim.hosts[index].currentProcess(), p.host.index
	if peer == nil || peer.peersClosed.Load() || sim.linkIsCut(from, index) || sim.linkIsCut(index, from) {
		select {
		case <-time.After(sim.randomBetween(time.Millisecond, 200*time.Millisecond)):
		case <-ctx.Done():
		}
		p.awaitRunning()
		return nil, errPeerUnreachable
	}
	peer.peerRequests.Add(1)
	if sim.chance(duplicateChance) {
		go func() {
			time.Sleep(sim.randomBetween(0, 2*time.Second))
			duplicateCtx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			if receiver := sim.hosts[index].currentProcess(); receiver != nil && !sim.linkIsCut(from, index) && !receiver.peersClosed.Load() {
				receiver.peerRequests.Add(1)
				c.deliver(duplicateCtx, receiver, from, handle)
			}
		}()
	}
	serverCtx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	reply := make(chan any, 1)
	go func() {
		defer cancel()
		if a := c.deliver(serverCtx, peer, from, handle); a != nil {
			reply <- a
		}
	}()
	var answer any
	err := error(nil)
	select {
	case answer = <-reply:
	case <-peer.dead:
		err = lost
	case <-p.dead:
		cancel()
		err = lost
	case <-ctx.Done():
		if !sim.linkIsCut(from, index) {
			cancel()
		}
		err = lost
	}
	p.awaitRunning()
	return answer, err
}

// deliver passes a message to the peer's handler and returns the answer, or nil if
// the message or the answer is lost.
func (c peerPort) deliver(ctx context.Context, peer *process, from int, handle func(context.Context, *Instance) any) any {
	defer peer.peerRequests.Add(-1)
	sim, faults, index := c.process.sim, c.process.sim.currentMessageFaults(), peer.host.index
	time.Sleep(sim.networkDelay())
	if sim.chance(faults.delayed) {
		time.Sleep(sim.randomBetween(10*time.Millisecond, 1500*time.Millisecond))
	}
	if sim.linkIsCut(from, index) || sim.chance(faults.lost/4) || !peer.awaitRunning() {
		return nil
	}
	a := handle(ctx, peer.instance)
	if !peer.awaitRunning() || sim.linkIsCut(index, from) || sim.chance(faults.lost/4) {
		return nil
	}
	time.Sleep(sim.networkDelay())
	if sim.chance(faults.delayed) {
		time.Sleep(sim.randomBetween(10*time.Millisecond, 1500*time.Millisecond))
	}
	return a
}

func (c peerPort) RunGroup(ctx context.Context, to model.InstanceID, req model.GroupRequest) (model.GroupAnswer, error) {
	a, err := c.call(ctx, to, c.process.sim.currentMessageFaults().duplicated, func(ctx context.Context, i *Instance) any { return i.HandleRunGroup(ctx, req) })
	if err != nil {
		return model.GroupAnswer{}, err
	}
	return a.(model.GroupAnswer), nil
}

func (c peerPort) SubmitOrder(ctx context.Context, to model.InstanceID, boot model.BootID, o port.OrderSubmission) (port.OrderAnswer, error) {
	a, err := c.call(ctx, to, c.process.sim.currentMessageFaults().orderDuplicated, func(ctx context.Context, i *Instance) any { return i.HandleSubmitOrder(ctx, boot, o) })
	if err != nil {
		return port.OrderAnswer{}, err
	}
	return a.(port.OrderAnswer), nil
}

func (c peerPort) FetchDocuments(ctx context.Context, to model.InstanceID, have []port.DocumentVersion) ([]port.RawDocument, error) {
	a, err := c.call(ctx, to, c.process.sim.currentMessageFaults().duplicated, func(ctx context.Context, i *Instance) any { return i.HandleFetchDocuments(ctx, have) })
	if err != nil {
		return nil, err
	}
	return a.([]port.RawDocument), nil
}

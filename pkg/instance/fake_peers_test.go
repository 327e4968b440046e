package instance

import (
	"context"
	"slices"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
)

type controlPort struct{ p *proc }

func (c controlPort) Send(address string, datagram []byte) {
	w, from, m := c.p.w, c.p.n, c.p.w.messNow()
	copies := 1
	if w.chance(m.twice) {
		copies = 2
	}
	for range copies {
		delay := w.netDelay()
		if w.chance(m.late) {
			delay = w.between(50*time.Millisecond, 1500*time.Millisecond)
		}
		to := slices.IndexFunc(w.nodes, func(n *node) bool { return n.control == address })
		if w.chance(m.crossed) {
			to = int(w.between(0, time.Duration(len(w.nodes)-1)))
		}
		if to < 0 || w.chance(m.lost) {
			continue
		}
		go func() {
			if !c.p.gate() {
				return
			}
			time.Sleep(delay)
			p := w.nodes[to].current()
			if w.isCut(from.index, to) || p == nil || !p.gate() {
				return
			}
			p.inst.HandleDatagram(from.control, slices.Clone(datagram))
		}()
	}
}

type peerPort struct{ p *proc }

var errPeer = result.Errorf(result.PeerUnreachable, "no connection")

// call passes a message to a peer and its answer back. The message arrives at
// most once, except for a duplicate that arrives late.
func (c peerPort) call(ctx context.Context, to model.InstanceID, twice float64, handle func(context.Context, *Instance) any) (any, error) {
	w, p := c.p.w, c.p
	lost := result.Errorf(result.PeerLost, "connection lost")
	if !p.gate() {
		return nil, lost
	}
	at := slices.IndexFunc(w.nodes, func(n *node) bool { return n.id == to })
	if at < 0 {
		return nil, errPeer
	}
	peer, from := w.nodes[at].current(), p.n.index
	if peer == nil || peer.closed.Load() || w.isCut(from, at) || w.isCut(at, from) {
		select {
		case <-time.After(w.between(time.Millisecond, 200*time.Millisecond)):
		case <-ctx.Done():
		}
		p.gate()
		return nil, errPeer
	}
	peer.inside.Add(1)
	if w.chance(twice) {
		go func() {
			time.Sleep(w.between(0, 2*time.Second))
			late, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			if q := w.nodes[at].current(); q != nil && !w.isCut(from, at) && !q.closed.Load() {
				q.inside.Add(1)
				c.deliver(late, q, from, handle)
			}
		}()
	}
	sctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	reply := make(chan any, 1)
	go func() {
		defer cancel()
		if a := c.deliver(sctx, peer, from, handle); a != nil {
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
		if !w.isCut(from, at) {
			cancel()
		}
		err = lost
	}
	p.gate()
	return answer, err
}

// deliver hands a message to the peer and returns its answer, or nil if either
// is lost.
func (c peerPort) deliver(ctx context.Context, peer *proc, from int, handle func(context.Context, *Instance) any) any {
	defer peer.inside.Add(-1)
	w, m, at := c.p.w, c.p.w.messNow(), peer.n.index
	time.Sleep(w.netDelay())
	if w.chance(m.late) {
		time.Sleep(w.between(10*time.Millisecond, 1500*time.Millisecond))
	}
	if w.isCut(from, at) || w.chance(m.lost/4) || !peer.gate() {
		return nil
	}
	a := handle(ctx, peer.inst)
	if !peer.gate() || w.isCut(at, from) || w.chance(m.lost/4) {
		return nil
	}
	time.Sleep(w.netDelay())
	if w.chance(m.late) {
		time.Sleep(w.between(10*time.Millisecond, 1500*time.Millisecond))
	}
	return a
}

func (c peerPort) RunGroup(ctx context.Context, to model.InstanceID, req model.GroupRequest) (model.GroupAnswer, error) {
	a, err := c.call(ctx, to, c.p.w.messNow().twice, func(ctx context.Context, i *Instance) any { return i.HandleRunGroup(ctx, req) })
	if err != nil {
		return model.GroupAnswer{}, err
	}
	return a.(model.GroupAnswer), nil
}

func (c peerPort) SubmitOrder(ctx context.Context, to model.InstanceID, boot model.BootID, o port.OrderSubmission) (port.OrderAnswer, error) {
	a, err := c.call(ctx, to, c.p.w.messNow().orderTwice, func(ctx context.Context, i *Instance) any { return i.HandleSubmitOrder(ctx, boot, o) })
	if err != nil {
		return port.OrderAnswer{}, err
	}
	return a.(port.OrderAnswer), nil
}

func (c peerPort) FetchDocuments(ctx context.Context, to model.InstanceID, have []port.DocumentVersion) ([]port.RawDocument, error) {
	a, err := c.call(ctx, to, c.p.w.messNow().twice, func(ctx context.Context, i *Instance) any { return i.HandleFetchDocuments(ctx, have) })
	if err != nil {
		return nil, err
	}
	return a.([]port.RawDocument), nil
}

package gateway

import "sync"

// heldReplies holds the replies of a request whose bodies count towards the limit of the
// memory for answers. Replies that arrive after release are released at once.
type heldReplies struct {
	mu       sync.Mutex
	released bool
	releases []func()
}

func (h *heldReplies) add(r *Reply) {
	if r.Release == nil {
		return
	}
	h.mu.Lock()
	if !h.released {
		h.releases = append(h.releases, r.Release)
		h.mu.Unlock()
		return
	}
	h.mu.Unlock()
	r.Release()
}

func (h *heldReplies) release() {
	h.mu.Lock()
	releases := h.releases
	h.releases, h.released = nil, true
	h.mu.Unlock()
	for _, release := range releases {
		release()
	}
}

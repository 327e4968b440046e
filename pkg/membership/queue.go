package membership

import "math/bits"

// retransmitFactor times the logarithm of the fleet size is the number of
// datagrams that carry an update.
const retransmitFactor = 3

// maxMisses bounds how many updates that do not fit are skipped in a datagram.
const maxMisses = 4

// retransmits returns how often each update is sent in a fleet of n members.
func retransmits(n int) int {
	return retransmitFactor * bits.Len(uint(n))
}

// update is an encoded record that is sent a bounded number of times.
type update struct {
	key   string
	data  []byte
	sent  int
	index int
}

// queue holds the updates to disseminate, by number of transmissions. The ones
// sent least often go first, and among them the most recent. A pick takes time
// proportional to the updates taken and the number of levels.
type queue struct {
	byKey  map[string]*update
	levels [][]*update
}

// put adds an update or replaces the one with the same key.
func (q *queue) put(key string, data []byte) {
	if q.byKey == nil {
		q.byKey = make(map[string]*update)
	}
	u := q.byKey[key]
	if u == nil {
		u = &update{key: key}
		q.byKey[key] = u
	} else {
		q.unlink(u)
	}
	u.data = data
	u.sent = 0
	q.link(u)
}

// replace changes the data of an update but not its count of transmissions. An
// update that is not there any more is added as one sent the given number of
// times.
func (q *queue) replace(key string, data []byte, sent int) {
	if u := q.byKey[key]; u != nil {
		u.data = data
		return
	}
	q.put(key, data)
	u := q.byKey[key]
	q.unlink(u)
	u.sent = sent
	q.link(u)
}

func (q *queue) link(u *update) {
	for len(q.levels) <= u.sent {
		q.levels = append(q.levels, nil)
	}
	u.index = len(q.levels[u.sent])
	q.levels[u.sent] = append(q.levels[u.sent], u)
}

func (q *queue) unlink(u *update) {
	level := q.levels[u.sent]
	last := len(level) - 1
	level[u.index] = level[last]
	level[u.index].index = u.index
	level[last] = nil
	q.levels[u.sent] = level[:last]
}

// fill appends updates to out until budget bytes are used, and counts them as
// sent. Updates sent limit times are dropped. If render is not nil, it encodes
// an update by its key; an empty result means that the update is void.
func (q *queue) fill(out []byte, budget, limit int, render func(key string) []byte) []byte {
	if len(q.byKey) == 0 {
		return out
	}
	var taken []*update
	misses := 0
	for _, level := range q.levels {
		for i := len(level) - 1; i >= 0 && misses < maxMisses; i-- {
			u := level[i]
			data := u.data
			if render != nil {
				data = render(u.key)
			}
			if len(data) > budget {
				misses++
				continue
			}
			budget -= len(data)
			out = append(out, data...)
			taken = append(taken, u)
		}
	}
	for _, u := range taken {
		q.sentOnce(u, limit)
	}
	return out
}

func (q *queue) sentOnce(u *update, limit int) {
	q.unlink(u)
	u.sent++
	if u.sent >= limit {
		delete(q.byKey, u.key)
		return
	}
	q.link(u)
}

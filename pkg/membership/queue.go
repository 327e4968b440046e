package membership

import "math/bits"

// retransmitFactor is multiplied by the binary logarithm of the fleet size to
// get the number of times that an update is sent.
const retransmitFactor = 3

// maxSkippedUpdates bounds the number of updates that are skipped for one
// datagram because they do not fit.
const maxSkippedUpdates = 4

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

// queue holds the updates to disseminate, in one level for each number of
// transmissions. Updates sent least often go first, and among them usually the
// most recent ones. The cost of filling a datagram is proportional to the number of
// updates taken and the number of levels.
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

// replaceData changes the data of an update and keeps its transmission count.
// If the update is not in the queue any more, it is added as one that has been
// sent the given number of times.
func (q *queue) replaceData(key string, data []byte, sent int) {
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
// sent. An update that has been sent limit times is removed. If encodeKey is not
// nil, it encodes an update by its key; an empty result means that the update
// is obsolete.
func (q *queue) fill(out []byte, budget, limit int, encodeKey func(key string) []byte) []byte {
	if len(q.byKey) == 0 {
		return out
	}
	var taken []*update
	skipped := 0
	for _, level := range q.levels {
		for i := len(level) - 1; i >= 0 && skipped < maxSkippedUpdates; i-- {
			u := level[i]
			data := u.data
			if encodeKey != nil {
				data = encodeKey(u.key)
			}
			if len(data) > budget {
				skipped++
				continue
			}
			budget -= len(data)
			out = append(out, data...)
			taken = append(taken, u)
		}
	}
	for _, u := range taken {
		q.countSent(u, limit)
	}
	return out
}

func (q *queue) countSent(u *update, limit int) {
	q.unlink(u)
	u.sent++
	if u.sent >= limit {
		delete(q.byKey, u.key)
		return
	}
	q.link(u)
}

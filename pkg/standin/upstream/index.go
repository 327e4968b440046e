package upstream

// AddShards makes shards of a snapshot available.
func (u *Upstream) AddShards(snapshot string, shards []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.index == nil {
		u.index = make(map[string]map[string]bool)
	}
	if u.index[snapshot] == nil {
		u.index[snapshot] = make(map[string]bool)
	}
	for _, s := range shards {
		u.index[snapshot][s] = true
	}
}

// RemoveShards removes shards of a snapshot, or the whole snapshot when shards
// is empty.
func (u *Upstream) RemoveShards(snapshot string, shards []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(shards) == 0 {
		delete(u.index, snapshot)
		return
	}
	for _, s := range shards {
		delete(u.index[snapshot], s)
	}
}

// SetIndex replaces all snapshots. A nil index accepts everything.
func (u *Upstream) SetIndex(index map[string][]string) {
	u.mu.Lock()
	u.index = nil
	if index != nil {
		u.index = make(map[string]map[string]bool)
	}
	u.mu.Unlock()
	for snapshot, shards := range index {
		u.AddShards(snapshot, shards)
	}
}

package upstream

// AddShards makes shards of a snapshot available. If all shards of all snapshots were
// available before, only the added shards are available afterwards.
func (u *Upstream) AddShards(snapshot string, shards []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.shardsBySnapshot == nil {
		u.shardsBySnapshot = make(map[string]map[string]bool)
	}
	if u.shardsBySnapshot[snapshot] == nil {
		u.shardsBySnapshot[snapshot] = make(map[string]bool)
	}
	for _, s := range shards {
		u.shardsBySnapshot[snapshot][s] = true
	}
}

// RemoveShards removes shards of a snapshot, or the whole snapshot when shards
// is empty.
func (u *Upstream) RemoveShards(snapshot string, shards []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(shards) == 0 {
		delete(u.shardsBySnapshot, snapshot)
		return
	}
	for _, s := range shards {
		delete(u.shardsBySnapshot[snapshot], s)
	}
}

// SetIndex replaces the available shards of all snapshots. With a nil index, all
// shards of all snapshots are available.
func (u *Upstream) SetIndex(index map[string][]string) {
	u.mu.Lock()
	u.shardsBySnapshot = nil
	if index != nil {
		u.shardsBySnapshot = make(map[string]map[string]bool)
	}
	u.mu.Unlock()
	for snapshot, shards := range index {
		u.AddShards(snapshot, shards)
	}
}

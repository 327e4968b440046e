package delegation

// Clone returns a copy of the table on which Pick decides as on the original, and leaves
// the original as it is.
func (t *Table) Clone() *Table {
	c := &Table{ownCapacity: t.ownCapacity, offset: t.offset, candidates: make([]*candidate, len(t.candidates))}
	for i, original := range t.candidates {
		copied := *original
		c.candidates[i] = &copied
	}
	return c
}

package bodymemory

import "time"

// Preview reports whether Reserve would succeed and, if not, the time that it would return,
// without changing anything. It runs Reserve on a copy.
func (l *Limiter) Preview(now time.Time, priority int, bytes int64, draw float64) (retryAfter time.Duration, ok bool) {
	copied := *l
	reservation, retryAfter := copied.Reserve(now, priority, bytes, draw)
	return retryAfter, reservation != nil
}

package fanout

// nameOrUndefined returns names[i], or "undefined" if there is no such name.
func nameOrUndefined[T ~int](names []string, i T) string {
	if i < 0 || int(i) >= len(names) {
		return "undefined"
	}
	return names[i]
}

// String returns the status as shown in logs.
func (s Status) String() string {
	return nameOrUndefined([]string{"succeeded", "failed", "declined", "not_sent", "unknown"}, s)
}

// String returns the cause as shown in logs.
func (c Cause) String() string { return nameOrUndefined([]string{"first", "hedge", "retry"}, c) }

// String returns the verdict as shown in logs.
func (v Verdict) String() string {
	return nameOrUndefined([]string{"pending", "complete", "partial", "too_few", "expired"}, v)
}

// String returns the reason as shown in logs.
func (m MissingReason) String() string {
	return nameOrUndefined([]string{"", "in_progress", "no_upstream", "rate_limited", "attempts_used", "budget_used", "not_repeatable", "first_part_unanswered", "withheld", "too_slow"}, m)
}

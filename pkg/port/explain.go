package port

// ExplainQuery describes a request whose treatment an operator asks about.
type ExplainQuery struct {
	Method, Host, Path string
	// Size is the size of the body in bytes; negative if it is not known.
	Size int64
	// Repeated is true if the caller has sent the request before.
	Repeated bool
	// All lists in full also the parts of a query that nothing is unusual about.
	All bool
}

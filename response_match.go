package fuchsiaspoke

// ResponseMatch states whether a response head belongs to the request whose response is awaited.
type ResponseMatch int

const (
	// ResponseForeign means that the head names another request.
	ResponseForeign ResponseMatch = iota
	// ResponseUnnamed means that the head names no request. It counts as the awaited one.
	ResponseUnnamed
	// ResponseOwn means that the head names the awaited request, or that it can't be another one.
	ResponseOwn
)

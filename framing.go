package fuchsiaspoke

// Framing is how an HTTP/1.1 response tells where its body ends.
type Framing string

// The framings. A body that ends with its connection has neither a Content-Length nor chunks.
const (
	FramedByLength     Framing = "length"
	FramedByChunks     Framing = "chunks"
	FramedByConnection Framing = "connection"
)

// BodyEnd is how the body of a replica's response ended.
type BodyEnd string

// The ends of a body. One that ended inside an event is a stream whose last event is incomplete.
const (
	BodyComplete         BodyEnd = "complete"
	BodyEndedInsideEvent BodyEnd = "inside_event"
	BodyReadFailed       BodyEnd = "read_failed"
)

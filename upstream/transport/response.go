package transport

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// Response is a replica's response to one message. Read it to io.EOF and close it, so that its connection can be reused.
type Response struct {
	Status int
	Header http.Header

	transport       *Transport
	conn            *conn
	address         string
	response        *http.Response
	writeResult     chan error
	stopCancelWatch func() bool
	// foreignResponseRead reports that a response to another request was received on the connection, which is then not reused.
	foreignResponseRead bool
	use                 fuchsiaspoke.ConnectionUse
	bodyComplete        bool
}

// Read reads the response body. It returns io.EOF only after the complete body; a truncated body gives another error.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.response.Body.Read(p)
	if n > 0 {
		r.transport.reached()
	}
	if err == io.EOF {
		r.bodyComplete = true
	}
	return n, err
}

// Length returns the announced length of the body, or -1 if there is none.
func (r *Response) Length() int64 {
	if r.response.Body == http.NoBody {
		return 0
	}
	return r.response.ContentLength
}

// LimitBody bounds the bytes in which the rest of the body comes from the connection, its framing included: chunks of few bytes take long
// to read.
func (r *Response) LimitBody(limit int64) { r.conn.limiter.Limit("response body", limit) }

// Discard reads the rest of a body that is not needed, so that its connection can be reused. A body that does not end soon is an error.
func (r *Response) Discard() error { return r.conn.discard(r) }

// Use returns which connection carried the exchange.
func (r *Response) Use() fuchsiaspoke.ConnectionUse { return r.use }

// KeepFromReuse has the connection closed after the response.
func (r *Response) KeepFromReuse() { r.conn.alone = true }

// Framing returns how the response tells where its body ends.
func (r *Response) Framing() fuchsiaspoke.Framing {
	switch {
	case r.response.ContentLength >= 0 || r.response.Body == http.NoBody:
		return fuchsiaspoke.FramedByLength
	case len(r.response.TransferEncoding) > 0:
		return fuchsiaspoke.FramedByChunks
	}
	return fuchsiaspoke.FramedByConnection
}

// Close ends the exchange. The connection returns to the pool only if ctx was not cancelled and reusable holds; otherwise it is
// closed.
func (r *Response) Close() {
	cancelled := r.stopCancelWatch != nil && !r.stopCancelWatch()
	if cancelled || !r.reusable() {
		r.conn.close()
		return
	}
	r.conn.idleUntil = time.Now().Add(idleLifetime(r.Header))
	r.transport.putIdle(r.address, r.conn)
}

// finishAbandoned reads the response to its end once the exchange has ended, and closes it. The connection is closed after abandonTimeout.
func (r *Response) finishAbandoned(exchanged <-chan error) {
	timer := time.AfterFunc(abandonTimeout, r.conn.close)
	defer timer.Stop()
	defer r.Close()
	if err := <-exchanged; err == nil {
		_ = r.Discard()
	}
}

// writeReportTimeout bounds the wait for the result of a write whose response is complete. On a busy machine a short exchange can be over
// before the goroutine that wrote the request has reported it.
const writeReportTimeout = 5 * time.Millisecond

// reusable reports whether the connection may carry another request: the request was written without error, the response was
// read completely, its end is given by Content-Length or chunked encoding, it names its request, the replica keeps the connection
// open, no bytes besides this response were received, and the connection may carry others beside its message.
func (r *Response) reusable() bool {
	if !r.conn.mayCarryMore() || !r.bodyComplete || r.foreignResponseRead || !r.use.Named || r.response == nil || r.response.Close || r.conn.reader.Buffered() > 0 {
		return false
	}
	if r.Framing() == fuchsiaspoke.FramedByConnection {
		return false
	}
	select {
	case err := <-r.writeResult:
		return err == nil
	case <-time.After(writeReportTimeout):
		return false
	}
}

// idleLifetime returns how long the connection may stay idle: the timeout in the replica's Keep-Alive header less
// idleLifetimeMargin, or else defaultIdleLifetime.
func idleLifetime(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			return time.Duration(n)*time.Second - idleLifetimeMargin
		}
	}
	return defaultIdleLifetime
}

package transport

import (
	"cmp"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/pkg/errors"
)

// Response is a replica's response to one message. Read it to io.EOF and close it, so that its connection can be reused.
type Response struct {
	Status int
	Header http.Header

	transport       *Transport
	conn            *conn
	address         string
	response        *http.Response
	write           *write
	stopCancelWatch func() bool
	// foreignResponseRead reports that a response to another request was received on the connection, which is then not reused.
	foreignResponseRead bool
	use                 fuchsiaspoke.ConnectionUse
	// bodyErr is the error that ended the body, io.EOF if the body is complete. The connection would give a later read another one.
	bodyErr error
}

// Read reads the response body. It returns io.EOF only after the complete body; a truncated body gives another error, also to further reads.
func (r *Response) Read(p []byte) (int, error) {
	if r.bodyErr != nil {
		return 0, r.bodyErr
	}
	n, err := r.response.Body.Read(p)
	if n > 0 {
		r.transport.reached()
	}
	if err == io.EOF {
		err = cmp.Or(r.confirmEnd(), io.EOF)
	}
	r.bodyErr = err
	return n, err
}

// confirmEnd returns an error if a body that ends with its connection was broken off. A reset while the request is being written is reported to
// the write or to the read; if the write has received it, the read finds the same end as after a close.
func (r *Response) confirmEnd() error {
	if r.Framing() != fuchsiaspoke.FramedByConnection {
		return nil
	}
	var settled <-chan time.Time
	if r.conn.closedByPeer() {
		settled = time.After(closeSettleTime)
	}
	select {
	case <-r.write.done:
		return errors.Wrap(r.write.err, "the connection failed before the end of the body: write request")
	case <-settled:
		return nil
	}
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
	r.conn.forgetRead()
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

// closeSettleTime is how long the rest of a request is still written after the replica has ended its side of the connection. A reset within that
// time means that it no longer reads, and may have broken off its response.
const closeSettleTime = 250 * time.Millisecond

// writeReportTimeout bounds the wait for the result of a write whose response is complete. On a busy machine a short exchange can be over
// before the goroutine that wrote the request has reported it.
const writeReportTimeout = 5 * time.Millisecond

// reusable reports whether the connection may carry another request: the request was written without error, the response was
// read completely, its end is given by Content-Length or chunked encoding, it names its request, the replica keeps the connection
// open, no bytes besides this response were received, and the connection may carry others beside its message.
func (r *Response) reusable() bool {
	if !r.conn.mayCarryMore() || r.bodyErr != io.EOF || r.foreignResponseRead || !r.use.Named || r.response == nil || r.response.Close || r.conn.buffered() > 0 {
		return false
	}
	if r.Framing() == fuchsiaspoke.FramedByConnection {
		return false
	}
	select {
	case <-r.write.done:
		return r.write.err == nil
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

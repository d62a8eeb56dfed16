package exchanger

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Answer is a replica's response to one message. Read it to io.EOF and close it, so that its connection can be reused.
type Answer struct {
	Status int
	Header http.Header

	exchanger       *Exchanger
	conn            *conn
	address         string
	response        *http.Response
	writeResult     chan error
	stopCancelWatch func() bool
	// foreignResponseRead reports that a response to another request was received on the connection, which is then not reused.
	foreignResponseRead bool
	bodyComplete        bool
}

// Read reads the response body. It returns io.EOF only after the complete body; a truncated body gives another error.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.response.Body.Read(p)
	if err == io.EOF {
		a.bodyComplete = true
	}
	return n, err
}

// Close ends the exchange. The connection returns to the pool only if ctx was not cancelled and reusable holds; otherwise it is
// closed.
func (a *Answer) Close() {
	cancelled := a.stopCancelWatch != nil && !a.stopCancelWatch()
	if cancelled || !a.reusable() {
		a.conn.close()
		return
	}
	a.conn.idleUntil = time.Now().Add(idleLifetime(a.Header))
	a.exchanger.putIdle(a.address, a.conn)
}

// reusable reports whether the connection may carry another request: the request was written without error, the response was
// read completely, its end is given by its head, the replica keeps the connection open, and no other bytes were received.
func (a *Answer) reusable() bool {
	if !a.bodyComplete || a.foreignResponseRead || a.response == nil || a.response.Close || a.conn.reader.Buffered() > 0 {
		return false
	}
	if a.response.ContentLength < 0 && len(a.response.TransferEncoding) == 0 {
		return false
	}
	select {
	case err := <-a.writeResult:
		return err == nil
	default:
		return false
	}
}

// idleLifetime returns how long the connection may stay idle, from the timeout in the replica's Keep-Alive header.
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

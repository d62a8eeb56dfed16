package exchanger

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Answer is one replica's answer to one message.
type Answer struct {
	Status int
	Header http.Header

	exchanger       *Exchanger
	conn            *conn
	address         string
	response        *http.Response
	writeResult     chan error
	stopCancelWatch func() bool
	// foreignResponseRead connections carried something odd and are not used again.
	foreignResponseRead bool
	bodyComplete        bool
}

// Read returns the answer's bytes; io.EOF comes only where the answer is whole.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.response.Body.Read(p)
	if err == io.EOF {
		a.bodyComplete = true
	}
	return n, err
}

// Close ends the exchange; the connection is kept only where nothing odd happened on it.
func (a *Answer) Close() {
	cancelled := a.stopCancelWatch != nil && !a.stopCancelWatch()
	if cancelled || !a.reusable() {
		a.conn.close()
		return
	}
	a.conn.idleUntil = time.Now().Add(idleLifetime(a.Header))
	a.exchanger.putIdle(a.address, a.conn)
}

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

// idleLifetime reads how long the replica keeps the idle connection.
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

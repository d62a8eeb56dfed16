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

	pool     *Exchanger
	conn     *conn
	address  string
	response *http.Response
	written  chan error
	stop     func() bool
	// dirty connections carried something odd and are not used again.
	dirty bool
	whole bool
}

// Read returns the answer's bytes; io.EOF comes only where the answer is whole.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.response.Body.Read(p)
	if err == io.EOF {
		a.whole = true
	}
	return n, err
}

// Close ends the exchange; the connection is kept only where nothing odd happened on it.
func (a *Answer) Close() {
	cancelled := a.stop != nil && !a.stop()
	if cancelled || !a.reusable() {
		a.conn.close()
		return
	}
	a.conn.idleUntil = time.Now().Add(keepFor(a.Header))
	a.pool.put(a.address, a.conn)
}

func (a *Answer) reusable() bool {
	if !a.whole || a.dirty || a.response == nil || a.response.Close || a.conn.reader.Buffered() > 0 {
		return false
	}
	if a.response.ContentLength < 0 && len(a.response.TransferEncoding) == 0 {
		return false
	}
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

// keepFor reads how long the replica keeps the idle connection.
func keepFor(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			return time.Duration(n)*time.Second - idleMargin
		}
	}
	return defaultIdle
}

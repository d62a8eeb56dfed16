package transport

import "net"

// write is the writing of one request. It runs beside the reading of the response, since a replica may respond before it has read the whole request.
type write struct {
	// done is closed at the end of the write, and err is then its error.
	done chan struct{}
	err  error
}

// startWrite starts to write a request to a connection. The write ends when the connection is closed.
func startWrite(c net.Conn, request net.Buffers) *write {
	w := &write{done: make(chan struct{})}
	go func() {
		defer close(w.done)
		_, w.err = request.WriteTo(c)
	}()
	return w
}

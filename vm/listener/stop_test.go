package listener_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke/vm/lingerer"
)

const (
	healthRequest = "GET /healthz HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n"
	// stopTimeout bounds the wait for running requests.
	stopTimeout = 20 * time.Second
)

func listen(t *testing.T) *lingerer.Lingerer {
	t.Helper()
	socket, err := lingerer.New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return socket
}

// exchange sends the text of a request, or its rest, and reads the whole response.
func exchange(conn net.Conn, request string) error {
	if _, err := io.WriteString(conn, request); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return err
}

// TestRequestWhoseHeaderArrivesAsServeEndsIsAnswered has the listener stop between the parts of a header.
func TestRequestWhoseHeaderArrivesAsServeEndsIsAnswered(t *testing.T) {
	socket := listen(t)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- newListener(&fakeAdmitter{}).Serve(ctx, socket, stopTimeout) }()
	const part = len(healthRequest) / 2
	var callers sync.WaitGroup
	for n := range 20 {
		conn, err := net.Dial("tcp", socket.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if _, err := io.WriteString(conn, healthRequest[:part]); err != nil {
			t.Fatal(err)
		}
		callers.Go(func() {
			<-ctx.Done()
			time.Sleep(100 * time.Millisecond)
			if err := exchange(conn, healthRequest[part:]); err != nil {
				t.Errorf("request %d: %v", n, err)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	stop()
	callers.Wait()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

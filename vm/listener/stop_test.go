package listener_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
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

// TestConnectionsThatWaitAsServeEndsAreAnswered has the kernel hold connections when the listener is stopped.
func TestConnectionsThatWaitAsServeEndsAreAnswered(t *testing.T) {
	socket := listen(t)
	const waiting = 50
	var callers sync.WaitGroup
	for n := range waiting {
		conn, err := net.Dial("tcp", socket.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		callers.Go(func() {
			defer conn.Close()
			if err := exchange(conn, healthRequest); err != nil {
				t.Errorf("request %d: %v", n, err)
			}
		})
	}
	ctx, stop := context.WithCancel(t.Context())
	stop()
	if err := newListener(&fakeAdmitter{}).Serve(ctx, socket, stopTimeout); err != nil {
		t.Error(err)
	}
	callers.Wait()
}

// TestCallersThatComeAsServeEndsAreAnsweredOrNotConnected has callers connect, without a pause, until the listener is closed.
func TestCallersThatComeAsServeEndsAreAnsweredOrNotConnected(t *testing.T) {
	socket := listen(t)
	address := socket.Addr().String()
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- newListener(&fakeAdmitter{}).Serve(ctx, socket, stopTimeout) }()
	time.AfterFunc(300*time.Millisecond, stop)
	var callers sync.WaitGroup
	var mu sync.Mutex
	lost, answered := 0, 0
	call := func() {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			defer conn.Close()
			err = exchange(conn, healthRequest)
		}
		mu.Lock()
		defer mu.Unlock()
		switch {
		case err == nil:
			answered++
		case !errors.Is(err, syscall.ECONNREFUSED):
			lost++
		}
	}
	for began := time.Now(); time.Since(began) < 4*time.Second; time.Sleep(4 * time.Millisecond) {
		for range 8 {
			callers.Go(call)
		}
	}
	callers.Wait()
	if err := <-done; err != nil {
		t.Error(err)
	}
	t.Logf("%d answered, %d lost", answered, lost)
	if lost > 0 || answered == 0 {
		t.Errorf("%d requests without an answer, %d answered", lost, answered)
	}
}

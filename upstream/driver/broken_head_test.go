package driver_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/driver"
)

// answerAll answers each request with a text until the listener is closed.
func answerAll(listener net.Listener, text string) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			if _, err := c.Read(make([]byte, 64<<10)); err == nil {
				_, _ = io.WriteString(c, text)
			}
		}()
	}
}

// resetInAnswer answers each request with a text before it has read the request's body, and resets the connection.
func resetInAnswer(listener net.Listener, text string) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			_, _ = c.Read(make([]byte, 100))
			_, _ = io.WriteString(c, text)
			time.Sleep(30 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}()
	}
}

// uploadProgressTimeout leaves time to encode a long prompt on a busy machine: a generation that ends before it was sent counts as not run.
const uploadProgressTimeout = 20 * time.Second

// A stream that is reset while the generation is being written has no finishing chunk, and is not whole.
func TestStreamResetDuringUploadIsNotWhole(t *testing.T) {
	const event = `data: {"request_id":"g","index":0,"text":"x","tokens":1,"adapter":{"name":"violin","version":3}}` + "\n\n"
	for _, text := range []string{"", event, event[:20]} {
		answer := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + text
		expectFailure(t, resetInAnswer, answer, strings.Repeat("x", 8<<20), uploadProgressTimeout)
	}
}

// expectNotBelieved runs a generation whose engine answers everything with a text, and fails the test if it succeeds, or counts as not run.
func expectNotBelieved(t *testing.T, text string) {
	t.Helper()
	expectFailure(t, answerAll, text, "x", 300*time.Millisecond)
}

// expectFailure runs a generation whose engine answers with a text, and fails the test if it succeeds, or counts as not run.
func expectFailure(t *testing.T, answer func(net.Listener, string), text, prompt string, progress time.Duration) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go answer(listener, text)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	d := &driver.Driver{
		Client: &http.Client{Transport: transport}, Upstream: fuchsiaspoke.Upstream{ID: "e", Address: listener.Addr().String()},
		ProgressTimeout: progress,
	}
	g := fuchsiaspoke.Generation{RequestID: "g", Adapter: adapter, MaxOutputTokens: 9, Body: []byte(`{"prompt":"` + prompt + `"}`)}
	err = d.Generate(t.Context(), g, func(fuchsiaspoke.Chunk) error { return nil })
	var refusal *fuchsiaspoke.Refusal
	if !errors.As(err, &refusal) || refusal.Run == fuchsiaspoke.NotRun {
		t.Errorf("answered with %q: error %v, want one that leaves open whether it ran", text, err)
	}
}

// notRunBody is what an engine sends that does not run a request.
var notRunBody = `{"error":{"code":"overloaded","message":"full","run":"` + string(fuchsiaspoke.NotRun) + `"}}`

// An engine sent a head with a blank in the name of a field, and its body was believed.
func TestHeadWithOddFieldNameIsNoRefusal(t *testing.T) {
	for _, line := range []string{"X-Odd Name: odd", "X-Odd : odd", "X-Odd\t: odd", "X-\x00Odd: odd"} {
		expectNotBelieved(t, fmt.Sprintf("HTTP/1.1 503 Odd\r\n%s\r\nContent-Length: %d\r\n\r\n%s", line, len(notRunBody), notRunBody))
	}
}

// An engine in trouble sent a status that HTTP does not have, and its body was believed: the generation counted as not run.
func TestStatusOutsideOfHTTPIsNoRefusal(t *testing.T) {
	for _, status := range []string{"000", "099", "600"} {
		expectNotBelieved(t, fmt.Sprintf("HTTP/1.1 %s Odd\r\nContent-Length: %d\r\n\r\n%s", status, len(notRunBody), notRunBody))
	}
}

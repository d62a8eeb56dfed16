package service_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke/standin/fault"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/record"
	"github.com/fuchsiaspoke/fuchsiaspoke/standin/service"
	"go.uber.org/goleak"
)

func TestFaultsAndTheirRuns(t *testing.T) {
	defer goleak.VerifyNone(t)
	for name, c := range map[string]struct {
		fault fault.Fault
		whole bool
		runs  int
	}{
		"none":         {fault.Fault{}, true, 1},
		"late":         {fault.Fault{LateMillis: 20}, true, 1},
		"close_before": {fault.Fault{CloseBefore: true}, false, 0},
		"close_after":  {fault.Fault{CloseAfter: true}, false, 1},
		"truncated":    {fault.Fault{TruncateAfter: 10}, false, 1},
		"silent":       {fault.Fault{Silence: true}, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := &service.Service{RunTime: 20 * time.Millisecond}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error, 1)
			go func() { done <- s.Serve(ctx, l) }()
			if c.fault.Silence {
				time.AfterFunc(10*time.Millisecond, func() { s.SetFault(c.fault) })
			} else {
				s.SetFault(c.fault)
			}
			if got := order(t, l.Addr().String()); got != c.whole {
				t.Errorf("whole answer %t, want %t", got, c.whole)
			}
			if runs := s.Records(); len(runs) != c.runs || c.runs == 1 && runs[0].IdempotencyKey != "key" {
				t.Errorf("runs %+v, want %d", runs, c.runs)
			}
			cancel()
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}
}

// order posts one order and reports whether its whole answer came.
func order(t *testing.T, address string) bool {
	t.Helper()
	client := &http.Client{Timeout: 200 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/orders", strings.NewReader(`{"scroll":1}`))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Idempotency-Key", "key")
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	var done record.Record
	return err == nil && json.Unmarshal(body, &done) == nil && done.Path == "/orders"
}

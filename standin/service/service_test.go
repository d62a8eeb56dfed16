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

func TestFaultDecidesResponseAndRecordedRuns(t *testing.T) {
	defer goleak.VerifyNone(t)
	for name, c := range map[string]struct {
		fault        fault.Fault
		wantComplete bool
		wantRuns     int
	}{
		"none":         {fault.Fault{}, true, 1},
		"late":         {fault.Fault{DelayMillis: 20}, true, 1},
		"close_before": {fault.Fault{CloseBefore: true}, false, 0},
		"close_after":  {fault.Fault{CloseAfter: true}, false, 1},
		"truncated":    {fault.Fault{TruncateAfter: 10}, false, 1},
		"silent":       {fault.Fault{StallConnections: true}, false, 1},
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
			if c.fault.StallConnections {
				// The connections stall while the order runs, also where the timer is late.
				s.RunTime = 150 * time.Millisecond
				time.AfterFunc(10*time.Millisecond, func() { s.SetFault(c.fault) })
			} else {
				s.SetFault(c.fault)
			}
			if got := postOrder(t, l.Addr().String()); got != c.wantComplete {
				t.Errorf("received complete response: %t, want %t", got, c.wantComplete)
			}
			if runs := s.Records(); len(runs) != c.wantRuns || c.wantRuns == 1 && runs[0].IdempotencyKey != "key" {
				t.Errorf("recorded runs %+v, want %d with the idempotency key", runs, c.wantRuns)
			}
			cancel()
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}
}

// postOrder posts one order and reports whether it received a complete response.
func postOrder(t *testing.T, address string) bool {
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
	var rec record.Record
	return err == nil && json.Unmarshal(body, &rec) == nil && rec.Path == "/orders"
}

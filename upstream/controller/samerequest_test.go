package controller_test

import (
	"context"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// A request is given up and placed anew at the same engine. The end of its first admission, which arrives late, must not end the second.
func TestLateEndOfAdmissionKeepsItsSuccessor(t *testing.T) {
	e := newHeldLinkEngine("a1")
	c := startController(t, e)
	start := func() (granted chan struct{}, end func()) {
		ctx, cancel := context.WithCancel(context.Background())
		granted, ended := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(ended)
			// The error is that of the cancelled context, or that another admission has taken its place.
			_ = c.Admit(ctx, newRequest("r1", "a1"), func(reply fuchsiaspoke.AdmissionReply) error {
				if reply.Granted {
					close(granted)
				}
				return nil
			})
		}()
		return granted, func() {
			cancel()
			<-ended
		}
	}
	for !c.View().Accepting {
		time.Sleep(time.Millisecond)
	}
	firstGranted, endFirst := start()
	<-firstGranted
	secondGranted, endSecond := start()
	<-secondGranted
	endFirst()
	if running := c.View().Running; running != 1 {
		t.Errorf("%d requests are admitted after the late end of the first, want the second alone", running)
	}
	endSecond()
	if running := c.View().Running; running != 0 {
		t.Errorf("%d requests are admitted after the end of both, want none", running)
	}
}

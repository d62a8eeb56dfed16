package sender

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// headCounter counts the heads of responses.
type headCounter struct{ heads int }

func (c *headCounter) Head(int, http.Header, int) { c.heads++ }
func (*headCounter) Body([]byte) error            { return nil }

// A stream has started when the engine that goes on with it answers with a failure that callers may see, or refuses it.
func TestStartedStreamGetsNoSecondHead(t *testing.T) {
	for name, o := range map[string]outcome{
		"failure of the engine": {reply: &reply{status: http.StatusInternalServerError, failed: true}, status: http.StatusInternalServerError},
		"refusal of the engine": {notRun: true, status: http.StatusServiceUnavailable},
	} {
		w := &headCounter{}
		task := &requestTask{
			Sender: &Sender{Log: func(string, ...any) {}, Count: func(string) {}, Clock: func() time.Duration { return 0 }}, out: w, callerCtx: context.Background(),
			request: fuchsiaspoke.AdmittedRequest{ID: "r"},
		}
		relay := &streamRelay{out: w}
		relay.headSent.Store(true)
		err := task.resultAfterLastAttempt(context.Background(), relay, o)
		if !errors.Is(err, ErrResponseInterrupted) || w.heads != 0 {
			t.Errorf("%s: error %v and %d more heads, want ErrResponseInterrupted and none", name, err, w.heads)
		}
	}
}

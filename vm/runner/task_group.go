package runner

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// taskGroup runs the background goroutines of one VM. A task that returns before its context is cancelled has failed.
type taskGroup struct {
	wg     sync.WaitGroup
	failed chan error
}

func newTaskGroup() *taskGroup {
	return &taskGroup{failed: make(chan error, 1)}
}

// start runs the task in a goroutine. Its failure is sent to failed.
func (g *taskGroup) start(ctx context.Context, name string, run func(context.Context) error) {
	g.wg.Go(func() {
		err := run(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			err = errors.New("task returned before its context was cancelled")
		}
		// The first failure stops the process; later ones are dropped.
		select {
		case g.failed <- errors.Wrap(err, name):
		default:
		}
	})
}

func (g *taskGroup) wait() { g.wg.Wait() }

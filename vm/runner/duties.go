package runner

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// duties are the goroutines of one VM; the first that ends before its context is a failure.
type duties struct {
	wg     sync.WaitGroup
	failed chan error
}

func newDuties() *duties {
	return &duties{failed: make(chan error, 1)}
}

// start runs the duty; its end is read by the runner through failed and wait.
func (d *duties) start(ctx context.Context, name string, run func(context.Context) error) {
	d.wg.Go(func() {
		err := run(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			err = errors.New("ended early")
		}
		// Only the first failure counts; later ones are dropped.
		select {
		case d.failed <- errors.Wrap(err, name):
		default:
		}
	})
}

func (d *duties) wait() { d.wg.Wait() }

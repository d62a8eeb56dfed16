package finder

import (
	"sync"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

// workSteps keeps how long work takes at each engine as published last, so that homes of adapters stay where they are while an engine has no
// owner. Only steps other than the usual are kept.
type workSteps struct {
	mu       sync.Mutex
	byEngine map[fuchsiaspoke.ReplicaIncarnation]fuchsiaspoke.WorkStep
}

// latest returns the step of the engine's view, or the one published last if view is nil. It keeps at most twice as many steps as there are
// published replicas, and drops all of them when a further one would exceed that.
func (w *workSteps) latest(i fuchsiaspoke.ReplicaIncarnation, view *fuchsiaspoke.EngineView, replicas int) fuchsiaspoke.WorkStep {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case view == nil:
	case view.WorkStep == 0:
		delete(w.byEngine, i)
	default:
		if w.byEngine == nil {
			w.byEngine = make(map[fuchsiaspoke.ReplicaIncarnation]fuchsiaspoke.WorkStep)
		}
		if _, kept := w.byEngine[i]; !kept && len(w.byEngine) >= 2*replicas {
			clear(w.byEngine)
		}
		w.byEngine[i] = view.WorkStep
	}
	return w.byEngine[i]
}

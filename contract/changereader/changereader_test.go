package changereader_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/changereader"
)

// history holds the changes from the revision oldest on.
type history struct {
	newest, oldest int64
	calls          int
}

func (h *history) Watch(_ context.Context, after int64, _ time.Duration) (fuchsiaspoke.PublicationList, error) {
	h.calls++
	if after < h.oldest {
		return fuchsiaspoke.PublicationList{}, fuchsiaspoke.ErrHistoryDiscarded
	}
	var list fuchsiaspoke.PublicationList
	for n := after + 1; n <= h.newest; n++ {
		list.Items = append(list.Items, fuchsiaspoke.Publication{Name: fmt.Sprint(n), Revision: fuchsiaspoke.Revision{Number: n}})
	}
	return list, nil
}

func TestMostOfWhatIsHeldIsRead(t *testing.T) {
	for _, held := range []int64{16, 40, 100, 333, 1000, 4000, 50_000} {
		h := &history{newest: 60_000, oldest: 60_000 - held}
		r := changereader.ChangeReader{Platform: h, Revision: func() fuchsiaspoke.Revision { return fuchsiaspoke.Revision{Number: h.newest} }}
		changes, err := r.Read(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if want := min(held, 4096) * 7 / 8; int64(len(changes)) < want-1 {
			t.Errorf("%d of %d changes were read, want %d", len(changes), held, want)
		}
		if h.calls > 12 {
			t.Errorf("%d calls for %d changes", h.calls, held)
		}
	}
}

func TestHistoryThatIsGoneIsAnError(t *testing.T) {
	h := &history{newest: 500, oldest: 500}
	r := changereader.ChangeReader{Platform: h, Revision: func() fuchsiaspoke.Revision { return fuchsiaspoke.Revision{Number: h.newest} }}
	if _, err := r.Read(t.Context()); !errors.Is(err, fuchsiaspoke.ErrHistoryDiscarded) {
		t.Errorf("error %v", err)
	}
}

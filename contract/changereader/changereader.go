// Package changereader reads changes from the platform: those that it still holds from before this process started, and those that this VM may
// not have heard of.
package changereader

import (
	"context"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"
)

const (
	// mostRevisions is the number of revisions with which the search for the oldest change that is held begins, and leastRevisions the
	// least one with which it goes on.
	mostRevisions  = 4096
	leastRevisions = 16
	// refinements is the number of further calls that narrow down where the history begins: to an eighth of what is held.
	refinements = 3
)

type platform interface {
	Watch(ctx context.Context, after int64, wait time.Duration) (fuchsiaspoke.PublicationList, error)
}

// newsTimeout bounds ReadNews.
const newsTimeout = 250 * time.Millisecond

// ChangeReader reads the platform's change history, which reaches back for a limited time. All fields must be set before the first call.
type ChangeReader struct {
	Platform platform
	// Revision returns the newest revision that is known.
	Revision func() fuchsiaspoke.Revision

	news singleflight.Group
}

// ReadNews returns the changes after the newest revision that is known. Calls at the same time share one call to the platform, which ends
// within newsTimeout.
func (c *ChangeReader) ReadNews(ctx context.Context) ([]fuchsiaspoke.Publication, error) {
	read := c.news.DoChan("", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), newsTimeout)
		defer cancel()
		return c.readNews(ctx)
	})
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case result := <-read:
		if result.Err != nil {
			return nil, result.Err
		}
		return result.Val.([]fuchsiaspoke.Publication), nil
	}
}

func (c *ChangeReader) readNews(ctx context.Context) ([]fuchsiaspoke.Publication, error) {
	known := c.Revision()
	if known.Number == 0 {
		return nil, errors.New("nothing is known of the platform yet")
	}
	list, err := c.Platform.Watch(ctx, known.Number, 0)
	if err == nil && list.Revision.Epoch != known.Epoch {
		err = errors.Wrapf(fuchsiaspoke.ErrHistoryDiscarded, "known is %s, platform is at %s", known, list.Revision)
	}
	return list.Items, err
}

// Read returns the changes up to the known revision that the platform still holds, but for an eighth of them, the oldest ones. The platform
// does not tell how far back they reach; it answers ErrHistoryDiscarded to what is older.
func (c *ChangeReader) Read(ctx context.Context) ([]fuchsiaspoke.Publication, error) {
	newest := c.Revision().Number
	if newest == 0 {
		return nil, errors.New("nothing is known of the platform yet")
	}
	discarded, held := int64(mostRevisions), int64(0)
	var changes []fuchsiaspoke.Publication
	for n := int64(mostRevisions); n >= leastRevisions; n /= 2 {
		list, err := c.readLast(ctx, newest, n)
		if err == nil {
			changes, held = list, n
			break
		}
		if !errors.Is(err, fuchsiaspoke.ErrHistoryDiscarded) {
			return nil, err
		}
		discarded = n
	}
	if held == 0 {
		return nil, errors.Wrap(fuchsiaspoke.ErrHistoryDiscarded, "read the last changes")
	}
	for range refinements {
		n := (held + discarded) / 2
		if n == held {
			break
		}
		list, err := c.readLast(ctx, newest, n)
		if err != nil {
			discarded = n
			continue
		}
		changes, held = list, n
	}
	return changes, nil
}

// readLast returns the changes of the last n revisions.
func (c *ChangeReader) readLast(ctx context.Context, newest, n int64) ([]fuchsiaspoke.Publication, error) {
	list, err := c.Platform.Watch(ctx, max(newest-n, 1), 0)
	return list.Items, err
}

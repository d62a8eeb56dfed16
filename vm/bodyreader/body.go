package bodyreader

import (
	"io"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/bytelender"
)

// body is a body that is arriving, or whose memory is lent.
type body struct {
	reader    *BodyReader
	from      io.Reader
	announced int64
	// interruptRead has reads from the caller fail at once.
	interruptRead func()
	began         time.Time
	blocks        [][]byte
	size          int64
	// ended is closed when the body no longer arrives.
	ended chan struct{}

	// The other fields are guarded by reader.mu. lender has lent the body lent bytes.
	lender *bytelender.Lender
	lent   int64
	// interrupted means that the body gives way to others.
	interrupted bool
}

// givesWayBefore reports whether b is interrupted rather than other.
func (b *body) givesWayBefore(other *body) bool {
	if b.lent != other.lent {
		return b.lent > other.lent
	}
	return b.began.Before(other.began)
}

// interrupt has the body's arrival end. The caller holds reader.mu.
func (b *body) interrupt() {
	if b.interrupted {
		return
	}
	b.interrupted = true
	b.interruptRead()
}

// read reads blocks up to the end of the body.
func (b *body) read(limit int64) error {
	for b.announced < 0 || b.size < b.announced {
		block, err := b.nextBlock(limit)
		if err != nil {
			return err
		}
		n, err := fill(block, b.from)
		b.size += int64(n)
		b.blocks = append(b.blocks, block[:n])
		switch {
		case b.size > limit:
			return &fuchsiaspoke.LimitError{Part: "request body", Bytes: limit}
		case err == io.EOF:
			return nil
		case err != nil && b.isInterrupted():
			return ErrNoMemory
		case err != nil:
			return err
		}
	}
	return nil
}

// fill reads until the block is full, or an error.
func fill(block []byte, from io.Reader) (n int, err error) {
	for n < len(block) && err == nil {
		var read int
		read, err = from.Read(block[n:])
		n += read
	}
	return n, err
}

// nextBlock returns the next block, whose memory is lent. A small body of announced length has one block; others end one byte beyond the limit.
func (b *body) nextBlock(limit int64) ([]byte, error) {
	size := min(max(b.size, firstBlockBytes), maxBlockBytes, limit+1-b.size)
	if b.announced >= 0 {
		size = min(b.announced-b.size, maxBlockBytes)
	}
	if err := b.borrow(size); err != nil {
		return nil, err
	}
	return make([]byte, size), nil
}

// join returns the whole body. While it is copied, its memory is lent twice.
func (b *body) join() ([]byte, error) {
	if len(b.blocks) == 0 {
		return nil, nil
	}
	if len(b.blocks) == 1 {
		return b.blocks[0], nil
	}
	if err := b.borrow(b.size); err != nil {
		b.blocks = nil
		b.release()
		return nil, err
	}
	content := make([]byte, 0, b.size)
	for _, block := range b.blocks {
		content = append(content, block...)
	}
	b.blocks = nil
	b.giveBack(b.size)
	return content, nil
}

// borrow has n more bytes lent. If there are no more, larger bodies that arrive give way; if there is none, it fails with ErrNoMemory.
func (b *body) borrow(n int64) error {
	lender := &b.reader.Small
	if b.size+n > maxSmallBytes {
		lender = &b.reader.Large
	}
	for !b.tryBorrow(lender, n) {
		other := b.reader.makeRoom(b, lender)
		if other == nil || !other.awaitEnd() || b.isInterrupted() {
			return ErrNoMemory
		}
	}
	return nil
}

// tryBorrow reports whether a lender lends n more bytes. If it isn't the one that has lent the others, it lends those too.
func (b *body) tryBorrow(lender *bytelender.Lender, n int64) bool {
	b.reader.mu.Lock()
	defer b.reader.mu.Unlock()
	moved := b.lent
	if b.lender == lender {
		moved = 0
	}
	if !lender.Lend(moved + n) {
		return false
	}
	if moved > 0 {
		b.lender.TakeBack(moved)
	}
	b.lender, b.lent = lender, b.lent+n
	return true
}

// giveBack returns a part of what is lent.
func (b *body) giveBack(n int64) {
	b.reader.mu.Lock()
	defer b.reader.mu.Unlock()
	b.lender.TakeBack(n)
	b.lent -= n
}

// release returns all that is lent.
func (b *body) release() {
	b.reader.mu.Lock()
	defer b.reader.mu.Unlock()
	if b.lender != nil {
		b.lender.TakeBack(b.lent)
	}
	b.lender, b.lent = nil, 0
}

func (b *body) isInterrupted() bool {
	b.reader.mu.Lock()
	defer b.reader.mu.Unlock()
	return b.interrupted
}

// awaitEnd waits until the body no longer arrives, and reports whether it has ended in time.
func (b *body) awaitEnd() bool {
	t := time.NewTimer(handOverTimeout)
	defer t.Stop()
	select {
	case <-b.ended:
		return true
	case <-t.C:
		return false
	}
}

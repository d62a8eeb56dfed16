// Package bodyreader reads the bodies of callers' requests within the memory that a VM has for them.
package bodyreader

import (
	"io"
	"sync"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/bytelender"
	"github.com/pkg/errors"
)

const (
	// maxSmallBytes is the size up to which a body counts as small. Small and large bodies have memory of their own, so that large ones can't keep the
	// small ones out.
	maxSmallBytes = 64 << 10
	// firstBlockBytes is the size of the first block of a body whose length is not announced. The next ones are larger, up to maxBlockBytes.
	firstBlockBytes = 4 << 10
	maxBlockBytes   = 64 << 10
	// handOverTimeout bounds the wait for the memory of a body that was interrupted.
	handOverTimeout = time.Second
)

// ErrNoMemory is the error of a body that was not read to its end, as the memory was needed for others or is used up.
var ErrNoMemory = errors.New("the VM has no memory left for the body")

// BodyReader reads bodies and lends them the memory that they take. If it is used up, the largest body that is still arriving gives way, and of several
// the one that began first: ordinary callers send their bodies at once. The zero value reads without a bound.
type BodyReader struct {
	// Small and Large are the memory of bodies of up to 64 KiB and of larger ones.
	Small, Large bytelender.Lender

	mu       sync.Mutex
	arriving map[*body]bool
}

// Read reads a body to its end, which comes within limit bytes; announced is the length that its caller has announced, below 0 none. interrupt has reads
// that wait, and all later ones, fail at once. The memory is lent until release is called, also after an error. The error is a *fuchsiaspoke.LimitError
// beyond the limit, ErrNoMemory, or that of from.
func (r *BodyReader) Read(from io.Reader, announced, limit int64, interrupt func()) (content []byte, release func(), err error) {
	b := &body{reader: r, from: from, announced: announced, interruptRead: interrupt, began: time.Now(), ended: make(chan struct{})}
	if announced > limit {
		return nil, b.release, &fuchsiaspoke.LimitError{Part: "request body", Bytes: limit}
	}
	r.add(b)
	defer r.remove(b)
	if err := b.read(limit); err != nil {
		b.blocks = nil
		b.release()
		return nil, b.release, err
	}
	content, err = b.join()
	return content, b.release, err
}

func (r *BodyReader) add(b *body) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.arriving == nil {
		r.arriving = make(map[*body]bool)
	}
	r.arriving[b] = true
}

// remove ends the arrival of a body, which is not interrupted any more.
func (r *BodyReader) remove(b *body) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.arriving, b)
	close(b.ended)
}

// InterruptFirst interrupts the body that has been arriving for the longest time, if there is one.
func (r *BodyReader) InterruptFirst() {
	r.mu.Lock()
	defer r.mu.Unlock()
	var first *body
	for b := range r.arriving {
		if !b.interrupted && (first == nil || b.began.Before(first.began)) {
			first = b
		}
	}
	if first != nil {
		first.interrupt()
	}
}

// makeRoom interrupts the largest body of those that use a lender, unless that is b itself or there is no other one, and returns it.
func (r *BodyReader) makeRoom(b *body, lender *bytelender.Lender) *body {
	r.mu.Lock()
	defer r.mu.Unlock()
	largest := b
	for other := range r.arriving {
		if other.lender == lender && other.givesWayBefore(largest) {
			largest = other
		}
	}
	if largest == b {
		return nil
	}
	largest.interrupt()
	return largest
}

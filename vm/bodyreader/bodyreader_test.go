package bodyreader_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/bodyreader"
)

const limit = 1 << 20

func neverInterrupted() {}

// stalled sends n bytes and then nothing, until it is interrupted.
type stalled struct {
	left        int
	waiting     chan struct{}
	interrupted chan struct{}
	once        sync.Once
}

func newStalled(n int) *stalled {
	return &stalled{left: n, waiting: make(chan struct{}), interrupted: make(chan struct{})}
}

func (s *stalled) Read(p []byte) (int, error) {
	if s.left > 0 {
		n := min(s.left, len(p))
		s.left -= n
		return n, nil
	}
	s.once.Do(func() { close(s.waiting) })
	<-s.interrupted
	return 0, errors.New("interrupted")
}

// arrive has a body arrive that stalls after n bytes, and returns once it does. The channel receives the error.
func arrive(r *bodyreader.BodyReader, n int) <-chan error {
	s, result := newStalled(n), make(chan error, 1)
	go func() {
		_, release, err := r.Read(s, -1, limit, func() { close(s.interrupted) })
		release()
		result <- err
	}()
	<-s.waiting
	return result
}

func TestBodiesOfAllSizesAreRead(t *testing.T) {
	var r bodyreader.BodyReader
	for _, size := range []int{0, 1, 4095, 4096, 4097, 64 << 10, 64<<10 + 1, limit - 1, limit, limit + 1} {
		want := bytes.Repeat([]byte("0123456789abcdef"), size/16+1)[:size]
		for _, form := range []struct {
			from      io.Reader
			announced int
		}{
			{bytes.NewReader(want), size},
			{bytes.NewReader(want), -1},
			{iotest.HalfReader(bytes.NewReader(want)), -1},
			{iotest.DataErrReader(bytes.NewReader(want)), size},
		} {
			got, release, err := r.Read(form.from, int64(form.announced), limit, neverInterrupted)
			var exceeded *fuchsiaspoke.LimitError
			if errors.As(err, &exceeded) != (size > limit) || err == nil && !bytes.Equal(got, want) {
				t.Errorf("%d bytes: read %d, error %v", size, len(got), err)
			}
			release()
		}
	}
	if lent := r.Small.Lent() + r.Large.Lent(); lent != 0 {
		t.Errorf("%d bytes are still lent", lent)
	}
}

func TestBodyThatEndsEarlyFails(t *testing.T) {
	var r bodyreader.BodyReader
	_, release, err := r.Read(io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(io.ErrUnexpectedEOF)), 9, limit, neverInterrupted)
	release()
	if !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("error %v", err)
	}
}

// Guards against bodies that stop short of their end and keep all others out.
func TestLargestBodyThatArrivesGivesWay(t *testing.T) {
	var r bodyreader.BodyReader
	r.Large.Limit, r.Small.Limit = 600<<10, 100<<10
	first, second := arrive(&r, 200<<10), arrive(&r, 300<<10)
	content, release, err := r.Read(bytes.NewReader(make([]byte, 150<<10)), 150<<10, limit, neverInterrupted)
	if err != nil || len(content) != 150<<10 {
		t.Fatalf("read %d bytes, error %v", len(content), err)
	}
	if err := <-second; !errors.Is(err, bodyreader.ErrNoMemory) {
		t.Errorf("the larger body: error %v", err)
	}
	select {
	case err := <-first:
		t.Errorf("the smaller body gave way: %v", err)
	default:
	}
	release()
	r.InterruptFirst()
	if err := <-first; !errors.Is(err, bodyreader.ErrNoMemory) {
		t.Errorf("the first body: error %v", err)
	}
	r.InterruptFirst()
	if lent := r.Small.Lent() + r.Large.Lent(); lent != 0 {
		t.Errorf("%d bytes are still lent", lent)
	}
}

// Guards against large bodies that keep small ones out: what is complete doesn't give way.
func TestSmallBodiesHaveMemoryOfTheirOwn(t *testing.T) {
	var r bodyreader.BodyReader
	r.Large.Limit, r.Small.Limit = 300<<10, 100<<10
	_, release, err := r.Read(bytes.NewReader(make([]byte, 150<<10)), 150<<10, limit, neverInterrupted)
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	_, second, err := r.Read(bytes.NewReader(make([]byte, 200<<10)), 200<<10, limit, neverInterrupted)
	second()
	if !errors.Is(err, bodyreader.ErrNoMemory) {
		t.Errorf("a second large body: error %v", err)
	}
	_, third, err := r.Read(strings.NewReader("ordinary"), 8, limit, neverInterrupted)
	third()
	if err != nil {
		t.Errorf("a small body: error %v", err)
	}
}

package bytelimiter_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/bytelimiter"
)

func TestOnlyMoreThanLimitFails(t *testing.T) {
	for size := range 12 {
		text := strings.Repeat("x", size)
		for _, r := range []*bytelimiter.Limiter{{Reader: strings.NewReader(text)}, {Reader: iotest.OneByteReader(strings.NewReader(text))}} {
			got, err := bytelimiter.ReadAll(r, "text", 8)
			var exceeded *fuchsiaspoke.LimitError
			if errors.As(err, &exceeded) != (size > 8) || len(got) != min(size, 8) {
				t.Errorf("%d bytes at a limit of 8: read %d, error %v", size, len(got), err)
			}
		}
	}
}

func TestLimitIsRenewed(t *testing.T) {
	l := bytelimiter.Limiter{Reader: bytes.NewReader(make([]byte, 100))}
	buffer := make([]byte, 64)
	for _, want := range []int{8, 3} {
		l.Limit("part", int64(want))
		if n, err := l.Read(buffer); n != want || err == nil {
			t.Errorf("limit %d: read %d, error %v", want, n, err)
		}
		if n, err := l.Read(buffer); n != 0 || err == nil {
			t.Errorf("past the limit: read %d, error %v", n, err)
		}
	}
	if parserErr := errors.New("cut line"); l.Cause(parserErr) == parserErr {
		t.Error("the cause of a parser's error at the limit is not the limit")
	}
	l.Unlimit()
	if n, err := l.Read(buffer); n != len(buffer) || err != nil {
		t.Errorf("no limit: read %d, error %v", n, err)
	}
}

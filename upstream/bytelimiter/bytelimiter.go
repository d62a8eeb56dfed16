// Package bytelimiter bounds how many bytes are read from a peer.
package bytelimiter

import (
	"io"

	"github.com/fuchsiaspoke/fuchsiaspoke"
)

const (
	// spareStreamBytes is the limit of a stream of no tokens: one event of the largest size.
	spareStreamBytes = 1 << 20
	// maxTokenBytes is by how much a token raises the limit: several times what an event of one token takes.
	maxTokenBytes = 4 << 10
	// maxStreamTokens is the number of tokens from which the limit rises no more.
	maxStreamTokens = 1 << 18
)

// Limiter reads from a peer up to a limit, and fails with a *fuchsiaspoke.LimitError beyond it. Its zero limit is none.
type Limiter struct {
	Reader io.Reader

	// exceeded is the error at the limit, and left the number of bytes up to it; nil means that there is no limit.
	exceeded *fuchsiaspoke.LimitError
	left     int64
	// failed means that the peer sent more than that.
	failed bool
}

// Limit allows the next limit bytes for a part, and no more until the next call of Limit or Unlimit.
func (l *Limiter) Limit(part string, limit int64) {
	l.exceeded, l.left, l.failed = &fuchsiaspoke.LimitError{Part: part, Bytes: limit}, limit, false
}

// Unlimit removes the limit.
func (l *Limiter) Unlimit() { l.exceeded, l.failed = nil, false }

// Cause returns the error at the limit if it was exceeded, as a parser of what was read may replace it by its own, and else err.
func (l *Limiter) Cause(err error) error {
	if l.failed {
		return l.exceeded
	}
	return err
}

// Read reads from the peer. It reads one byte beyond the limit, as the peer may end exactly there.
func (l *Limiter) Read(p []byte) (int, error) {
	if l.exceeded == nil {
		return l.Reader.Read(p)
	}
	if l.failed {
		return 0, l.exceeded
	}
	p = p[:min(int64(len(p)), l.left+1)]
	n, err := l.Reader.Read(p)
	if int64(n) > l.left {
		l.failed = true
		n, err = int(l.left), l.exceeded
	}
	l.left -= int64(n)
	return n, err
}

// ReadAll reads a part to its end, which comes within limit bytes.
func ReadAll(r io.Reader, part string, limit int64) ([]byte, error) {
	l := Limiter{Reader: r}
	l.Limit(part, limit)
	return io.ReadAll(&l)
}

// StreamBytes returns the limit of a stream that generates up to a number of tokens.
func StreamBytes(tokens int64) int64 {
	return spareStreamBytes + maxTokenBytes*min(max(tokens, 0), maxStreamTokens)
}

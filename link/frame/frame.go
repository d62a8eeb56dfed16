// Package frame holds the one message shape that VMs exchange over a QUIC stream.
package frame

import (
	"io"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// maxStreamBytes bounds what one side may send on one stream.
const maxStreamBytes = 64 << 20

// Frame is a request, a part of an answer, or the end of an answer.
type Frame struct {
	// Method is set on requests alone.
	Method string          `cbor:"1,keyasint,omitempty"`
	Body   cbor.RawMessage `cbor:"2,keyasint,omitempty"`
	// End is set on the last frame of an answer; an answer without it is cut.
	End bool `cbor:"3,keyasint,omitempty"`
	// Refusal is the typed failure of the request, on the last frame.
	Refusal *fuchsiaspoke.Refusal `cbor:"4,keyasint,omitempty"`
	// Failure is the text of an untyped failure, on the last frame.
	Failure string `cbor:"5,keyasint,omitempty"`
	// WallNanos and Logical are the sender's hybrid logical clock, so that the time line keeps cause before effect.
	WallNanos int64  `cbor:"6,keyasint,omitempty"`
	Logical   uint32 `cbor:"7,keyasint,omitempty"`
}

// clock is a hybrid logical clock; a nil clock stamps nothing and learns nothing.
type clock interface {
	Now() (wallNanos int64, logical uint32)
	Observe(wallNanos int64, logical uint32) bool
}

// New returns a frame that carries the value.
func New(method string, value any) (Frame, error) {
	body, err := cbor.Marshal(value)
	if err != nil {
		return Frame{}, errors.Wrapf(err, "encode %s", method)
	}
	return Frame{Method: method, Body: body}, nil
}

// Decode reads the frame's body into the value.
func (f Frame) Decode(value any) error {
	return errors.Wrap(cbor.Unmarshal(f.Body, value), "decode frame body")
}

// Err returns the failure that the frame ends with, or nil.
func (f Frame) Err() error {
	if f.Refusal != nil {
		return f.Refusal
	}
	if f.Failure != "" {
		return errors.New(f.Failure)
	}
	return nil
}

// WithErr returns a closing frame that carries the error.
func (f Frame) WithErr(err error) Frame {
	f.End = true
	if err == nil {
		return f
	}
	var refusal *fuchsiaspoke.Refusal
	if errors.As(err, &refusal) {
		f.Refusal = refusal
		return f
	}
	f.Failure = err.Error()
	return f
}

// Write sends the frame, stamped by the clock.
func (f Frame) Write(w io.Writer, clock clock) error {
	if clock != nil {
		f.WallNanos, f.Logical = clock.Now()
	}
	data, err := cbor.Marshal(f)
	if err != nil {
		return errors.Wrap(err, "encode frame")
	}
	_, err = w.Write(data)
	return err
}

// Reader returns a function that reads the next frame from r and shows its stamp to the clock.
func Reader(r io.Reader, clock clock) func() (Frame, error) {
	decoder := cbor.NewDecoder(io.LimitReader(r, maxStreamBytes))
	return func() (Frame, error) {
		var f Frame
		err := decoder.Decode(&f)
		if err == nil && clock != nil && f.WallNanos != 0 {
			clock.Observe(f.WallNanos, f.Logical)
		}
		return f, err
	}
}

// Package frame encodes the messages that VMs exchange over a QUIC stream.
package frame

import (
	"io"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// maxStreamBytes bounds what is read from one stream: one request or one response.
const maxStreamBytes = 64 << 20

// Frame is a request, a part of a response, or the end of a response.
type Frame struct {
	// Method is set on requests only.
	Method string          `cbor:"1,keyasint,omitempty"`
	Body   cbor.RawMessage `cbor:"2,keyasint,omitempty"`
	// End marks the last frame of a response; a response without it is truncated.
	End bool `cbor:"3,keyasint,omitempty"`
	// Refusal is the typed error of a failed call, on the last frame.
	Refusal *fuchsiaspoke.Refusal `cbor:"4,keyasint,omitempty"`
	// Failure is the text of any other error of a failed call, on the last frame.
	Failure string `cbor:"5,keyasint,omitempty"`
	// WallNanos and Logical are the sender's hybrid logical clock reading, which keeps causes before effects on the event timeline.
	WallNanos int64  `cbor:"6,keyasint,omitempty"`
	Logical   uint32 `cbor:"7,keyasint,omitempty"`
}

// clock is a hybrid logical clock; with nil, frames carry no timestamp and received timestamps are ignored.
type clock interface {
	Now() (wallNanos int64, logical uint32)
	Observe(wallNanos int64, logical uint32) bool
}

// New returns a frame with the value encoded as its body; method is empty for responses.
func New(method string, value any) (Frame, error) {
	body, err := cbor.Marshal(value)
	if err != nil {
		return Frame{}, errors.Wrapf(err, "encode body of %q frame", method)
	}
	return Frame{Method: method, Body: body}, nil
}

// Decode decodes the frame's body into value.
func (f Frame) Decode(value any) error {
	return errors.Wrap(cbor.Unmarshal(f.Body, value), "decode frame body")
}

// Err returns the error that the frame carries, or nil.
func (f Frame) Err() error {
	if f.Refusal != nil {
		return f.Refusal
	}
	if f.Failure != "" {
		return errors.New(f.Failure)
	}
	return nil
}

// WithErr returns a copy of the frame that ends a response and carries err, which may be nil.
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

// Write encodes the frame to w with the clock's current time.
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

// Reader returns a function that decodes the next frame from r and advances the clock by the frame's timestamp.
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

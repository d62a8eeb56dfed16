package fuchsiaspoke

import "strconv"

// LimitError is the error of a reader whose peer sent more than the reader takes.
type LimitError struct {
	// Part is what was too long, such as "response head".
	Part string
	// Bytes is the limit.
	Bytes int64
}

// Error names the part and its limit.
func (e *LimitError) Error() string {
	return e.Part + " exceeds " + strconv.FormatInt(e.Bytes, 10) + " bytes"
}

package fuchsiaspoke

import (
	"net/http"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// minFinalStatus and maxStatus are the least and the largest status of a response that is not informational.
const (
	minFinalStatus = 200
	maxStatus      = 599
)

// ResponseHead is the status and the header of a response that is not informational.
type ResponseHead struct {
	Status int
	Header http.Header
}

// Fault returns why no HTTP/1.1 response has such a head; nil if one may have it.
func (h ResponseHead) Fault() error {
	if h.Status < minFinalStatus || h.Status > maxStatus {
		return errors.Errorf("status %03d is none of a response", h.Status)
	}
	for name := range h.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Errorf("field name %.80q is none of a header", name)
		}
	}
	return nil
}

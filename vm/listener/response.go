package listener

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/contract/authenticator"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

type entryResponse struct {
	Addresses   []string `json:"addresses"`
	KeepSeconds float64  `json:"keep_seconds"`
}

type idempotencyKeyResponse struct {
	IdempotencyKey string `json:"idempotency_key"`
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type errorResponse struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string                   `json:"message"`
	Type    string                   `json:"type"`
	Param   *string                  `json:"param"`
	Code    fuchsiaspoke.RefusalCode `json:"code"`
	Run     fuchsiaspoke.RunStatus   `json:"run"`
}

func newErrorResponse(refusal *fuchsiaspoke.Refusal) errorResponse {
	kind := "invalid_request_error"
	if refusal.Status >= http.StatusInternalServerError {
		kind = "server_error"
	}
	return errorResponse{Error: errorDetail{Message: refusal.Message, Type: kind, Code: refusal.Code, Run: refusal.Run}}
}

// toRefusal returns the refusal in err's chain, or else one for err: not_run if the request was rejected before it was
// processed, otherwise an unknown outcome.
func toRefusal(err error) *fuchsiaspoke.Refusal {
	var refusal *fuchsiaspoke.Refusal
	if errors.As(err, &refusal) {
		return withDefaults(refusal)
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &fuchsiaspoke.Refusal{
			Code: fuchsiaspoke.CodeTooLarge, Message: "request body exceeds 1 MiB",
			Run: fuchsiaspoke.NotRun, Status: http.StatusRequestEntityTooLarge,
		}
	}
	var httpError *echo.HTTPError
	if errors.As(err, &httpError) {
		return &fuchsiaspoke.Refusal{
			Code: fuchsiaspoke.CodeInvalidRequest, Message: http.StatusText(httpError.Code),
			Run: fuchsiaspoke.NotRun, Status: httpError.Code,
		}
	}
	return &fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeUpstreamFailed, Message: "the request failed: " + err.Error(),
		Run: fuchsiaspoke.RunUnknown, Status: http.StatusBadGateway, RetryAfter: time.Second,
	}
}

// withDefaults returns a copy of the refusal in which a missing status is 503 and a missing outcome is unknown.
func withDefaults(refusal *fuchsiaspoke.Refusal) *fuchsiaspoke.Refusal {
	result := *refusal
	if result.Status == 0 {
		result.Status = http.StatusServiceUnavailable
	}
	if result.Run == "" {
		result.Run = fuchsiaspoke.RunUnknown
	}
	return &result
}

func retryAfterSeconds(refusal *fuchsiaspoke.Refusal) string {
	return strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds())))
}

// credentials returns the caller's key and its hash, both empty if the request has no key. The key itself is only used to
// reject requests that contain it outside the Authorization header.
func credentials(r *http.Request) (key, keyHash string, err error) {
	authorization := r.Header.Get(echo.HeaderAuthorization)
	keyHash, err = authenticator.Authenticator{}.KeyHash(authorization)
	if err != nil || keyHash == "" {
		return "", "", err
	}
	_, key, _ = strings.Cut(authorization, " ")
	return strings.TrimSpace(key), keyHash, nil
}

func invalidRequest(message string) error {
	return &fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeInvalidRequest, Message: message, Run: fuchsiaspoke.NotRun, Status: http.StatusBadRequest,
	}
}

func internalError() error {
	return &fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeUpstreamFailed, Message: "internal error while handling the request",
		Run: fuchsiaspoke.RunUnknown, Status: http.StatusInternalServerError, RetryAfter: time.Second,
	}
}

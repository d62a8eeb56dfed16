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

type entryAnswer struct {
	Addresses   []string `json:"addresses"`
	KeepSeconds float64  `json:"keep_seconds"`
}

type issueAnswer struct {
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

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string            `json:"message"`
	Type    string            `json:"type"`
	Param   *string           `json:"param"`
	Code    fuchsiaspoke.Code `json:"code"`
	Run     fuchsiaspoke.Run  `json:"run"`
}

func errorAnswer(refusal *fuchsiaspoke.Refusal) errorBody {
	kind := "invalid_request_error"
	if refusal.Status >= http.StatusInternalServerError {
		kind = "server_error"
	}
	return errorBody{Error: errorDetail{Message: refusal.Message, Type: kind, Code: refusal.Code, Run: refusal.Run}}
}

// typed finds the refusal in an error, or makes one that claims nothing about the run.
func typed(err error) *fuchsiaspoke.Refusal {
	var refusal *fuchsiaspoke.Refusal
	if errors.As(err, &refusal) {
		return complete(refusal)
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &fuchsiaspoke.Refusal{
			Code: fuchsiaspoke.CodeTooLarge, Message: "the request's body is larger than 1 MiB",
			Run: fuchsiaspoke.NotRun, Status: http.StatusRequestEntityTooLarge,
		}
	}
	var failure *echo.HTTPError
	if errors.As(err, &failure) {
		return &fuchsiaspoke.Refusal{
			Code: fuchsiaspoke.CodeInvalidRequest, Message: http.StatusText(failure.Code),
			Run: fuchsiaspoke.NotRun, Status: failure.Code,
		}
	}
	return &fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeUpstreamFailed, Message: "the request failed: " + err.Error(),
		Run: fuchsiaspoke.RunUnknown, Status: http.StatusBadGateway, RetryAfter: time.Second,
	}
}

func complete(refusal *fuchsiaspoke.Refusal) *fuchsiaspoke.Refusal {
	whole := *refusal
	if whole.Status == 0 {
		whole.Status = http.StatusServiceUnavailable
	}
	if whole.Run == "" {
		whole.Run = fuchsiaspoke.RunUnknown
	}
	return &whole
}

func retryAfter(refusal *fuchsiaspoke.Refusal) string {
	return strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds())))
}

// credentials returns the caller's key, for finding it where it must not be, and its hash; both are empty without one.
func credentials(r *http.Request) (key, keyHash string, err error) {
	authorization := r.Header.Get(echo.HeaderAuthorization)
	keyHash, err = authenticator.Authenticator{}.KeyHash(authorization)
	if err != nil || keyHash == "" {
		return "", "", err
	}
	_, key, _ = strings.Cut(authorization, " ")
	return strings.TrimSpace(key), keyHash, nil
}

func invalid(message string) error {
	return &fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeInvalidRequest, Message: message, Run: fuchsiaspoke.NotRun, Status: http.StatusBadRequest,
	}
}

func failed() error {
	return &fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeUpstreamFailed, Message: "the request failed inside the system",
		Run: fuchsiaspoke.RunUnknown, Status: http.StatusInternalServerError, RetryAfter: time.Second,
	}
}

package listener

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"path"
	"slices"
	"strings"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/labstack/echo/v4"
)

const (
	// idempotencyHeader carries an idempotency key issued by this system.
	idempotencyHeader = "Idempotency-Key"
	// replayedHeader marks the recorded reply of an earlier call with the same idempotency key.
	replayedHeader = "Idempotent-Replayed"
	// requestIDHeader carries the id under which the request appears in the timeline.
	requestIDHeader = "X-Request-Id"
)

// callService handles a call to a plain service.
func (l *Listener) callService(c echo.Context) error {
	if !l.Ready() {
		return notReady()
	}
	r := c.Request()
	key, keyHash, err := credentials(r)
	if err != nil {
		return err
	}
	target, err := servicePath(r.URL, c.Param("profile"), key)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return bodyReadError(err)
	}
	if containsKey(body, key) {
		return invalidRequest("request body must not contain the caller's key")
	}
	call := fuchsiaspoke.Call{
		RequestID:      requestID(c),
		Profile:        c.Param("profile"),
		Method:         r.Method,
		Path:           target,
		ContentType:    r.Header.Get(echo.HeaderContentType),
		Accept:         r.Header.Get(echo.HeaderAccept),
		Body:           body,
		KeyHash:        keyHash,
		IdempotencyKey: r.Header.Get(idempotencyHeader),
	}
	reply, err := l.Admitter.Call(r.Context(), call)
	if err != nil {
		return err
	}
	if reply.Replayed {
		c.Response().Header().Set(replayedHeader, "true")
	}
	if reply.ContentType == "" {
		return c.Blob(reply.Status, echo.MIMEOctetStream, reply.Body)
	}
	return c.Blob(reply.Status, reply.ContentType, reply.Body)
}

// containsKey reports whether the body contains the key, verbatim or with JSON escapes.
func containsKey(body []byte, key string) bool {
	if key == "" {
		return false
	}
	if bytes.Contains(body, []byte(key)) {
		return true
	}
	var value any
	return bytes.Contains(body, []byte(`\`)) && json.Unmarshal(body, &value) == nil && valueContainsKey(value, key)
}

func valueContainsKey(value any, key string) bool {
	switch v := value.(type) {
	case string:
		return strings.Contains(v, key)
	case []any:
		return slices.ContainsFunc(v, func(item any) bool { return valueContainsKey(item, key) })
	case map[string]any:
		for name, item := range v {
			if strings.Contains(name, key) || valueContainsKey(item, key) {
				return true
			}
		}
	}
	return false
}

// servicePath returns the path and query that are sent to the service. It refuses a path with empty, "." or ".." segments, and
// a URL that contains the caller's key.
func servicePath(u *url.URL, profile, key string) (string, error) {
	_, rest, _ := strings.Cut(strings.TrimPrefix(u.EscapedPath(), "/v1/services/"), "/")
	target := "/" + rest
	if decoded, err := url.PathUnescape(target); err != nil || path.Clean(decoded) != strings.TrimSuffix(decoded, "/") && decoded != "/" {
		return "", invalidRequest("path after profile " + profile + ` is not normalized; remove empty, "." and ".." segments`)
	}
	if u.RawQuery != "" {
		target += "?" + u.RawQuery
	}
	decoded, _ := url.QueryUnescape(target)
	if key != "" && (strings.Contains(target, key) || strings.Contains(decoded, key)) {
		return "", &fuchsiaspoke.Refusal{
			Code: fuchsiaspoke.CodeInvalidRequest, Message: "path and query must not contain the caller's key",
			Run: fuchsiaspoke.NotRun, Status: http.StatusBadRequest,
		}
	}
	return target, nil
}

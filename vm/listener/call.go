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
	// idempotencyHeader carries the idempotency key that the system issued.
	idempotencyHeader = "Idempotency-Key"
	// replayedHeader marks a recorded answer.
	replayedHeader = "Idempotent-Replayed"
	// requestIDHeader names the request on the time line.
	requestIDHeader = "X-Request-Id"
)

func (l *Listener) call(c echo.Context) error {
	if !l.Ready() {
		return starting()
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
		return unread(err)
	}
	if carriesKey(body, key) {
		return invalid("the request's body carries the caller's key")
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

// carriesKey reports whether the key stands in the body, as it is or escaped as JSON allows.
func carriesKey(body []byte, key string) bool {
	if key == "" {
		return false
	}
	if bytes.Contains(body, []byte(key)) {
		return true
	}
	var value any
	return bytes.Contains(body, []byte(`\`)) && json.Unmarshal(body, &value) == nil && holdsKey(value, key)
}

func holdsKey(value any, key string) bool {
	switch v := value.(type) {
	case string:
		return strings.Contains(v, key)
	case []any:
		return slices.ContainsFunc(v, func(item any) bool { return holdsKey(item, key) })
	case map[string]any:
		for name, item := range v {
			if strings.Contains(name, key) || holdsKey(item, key) {
				return true
			}
		}
	}
	return false
}

// servicePath is the part of the URL that the service gets; a path that is not in its shortest form is refused.
func servicePath(u *url.URL, profile, key string) (string, error) {
	_, rest, _ := strings.Cut(strings.TrimPrefix(u.EscapedPath(), "/v1/services/"), "/")
	target := "/" + rest
	if plain, err := url.PathUnescape(target); err != nil || path.Clean(plain) != strings.TrimSuffix(plain, "/") && plain != "/" {
		return "", invalid("the path after profile " + profile + " is not in its shortest form")
	}
	if u.RawQuery != "" {
		target += "?" + u.RawQuery
	}
	plain, _ := url.QueryUnescape(target)
	if key != "" && (strings.Contains(target, key) || strings.Contains(plain, key)) {
		return "", &fuchsiaspoke.Refusal{
			Code: fuchsiaspoke.CodeInvalidRequest, Message: "the path or query carries the caller's key",
			Run: fuchsiaspoke.NotRun, Status: http.StatusBadRequest,
		}
	}
	return target, nil
}

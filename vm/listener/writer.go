package listener

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// writer turns the parts of an answer into the API's stream or into one whole answer.
type writer struct {
	c            echo.Context
	chat         bool
	stream       bool
	usage        bool
	model        string
	id           string
	promptTokens int64

	created int64
	text    strings.Builder
	tokens  int64
	reason  string
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int           `json:"index"`
	Text         *string       `json:"text,omitempty"`
	Message      *plainMessage `json:"message,omitempty"`
	Delta        *plainMessage `json:"delta,omitempty"`
	FinishReason *string       `json:"finish_reason"`
}

type plainMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

func (w *writer) add(chunk fuchsiaspoke.Chunk) error {
	if w.created == 0 {
		w.created = time.Now().Unix()
	}
	w.tokens += chunk.Tokens
	w.reason = chunk.FinishReason
	if chunk.PromptTokens > 0 {
		w.promptTokens = chunk.PromptTokens
	}
	if !w.stream {
		w.text.WriteString(chunk.Text)
		return nil
	}
	return w.event(w.part(chunk))
}

// finish ends an answer that is whole.
func (w *writer) finish() error {
	if w.reason == "" {
		return w.fail(errors.New("the answer has no end"))
	}
	if !w.stream {
		return w.c.JSON(http.StatusOK, w.whole())
	}
	if w.usage {
		if err := w.event(completion{ID: w.id, Object: w.object("chunk"), Created: w.created, Model: w.model, Choices: []choice{}, Usage: w.count()}); err != nil {
			return err
		}
	}
	return w.raw("data: [DONE]\n\n")
}

// fail ends an answer that is not whole: by status if nothing was written, else by an error event and no end mark.
func (w *writer) fail(err error) error {
	if !w.c.Response().Committed {
		return err
	}
	data, marshalErr := json.Marshal(errorAnswer(typed(err)))
	if marshalErr == nil {
		_ = w.raw("data: " + string(data) + "\n\n")
	}
	return err
}

func (w *writer) part(chunk fuchsiaspoke.Chunk) completion {
	part := choice{}
	if chunk.FinishReason != "" {
		part.FinishReason = &chunk.FinishReason
	}
	if w.chat {
		part.Delta = &plainMessage{Content: chunk.Text}
		if chunk.Index == 0 {
			part.Delta.Role = "assistant"
		}
	} else {
		part.Text = &chunk.Text
	}
	return completion{ID: w.id, Object: w.object("chunk"), Created: w.created, Model: w.model, Choices: []choice{part}}
}

func (w *writer) whole() completion {
	text := w.text.String()
	only := choice{FinishReason: &w.reason}
	if w.chat {
		only.Message = &plainMessage{Role: "assistant", Content: text}
	} else {
		only.Text = &text
	}
	return completion{ID: w.id, Object: w.object(""), Created: w.created, Model: w.model, Choices: []choice{only}, Usage: w.count()}
}

func (w *writer) count() *usage {
	return &usage{PromptTokens: w.promptTokens, CompletionTokens: w.tokens, TotalTokens: w.promptTokens + w.tokens}
}

func (w *writer) object(suffix string) string {
	if !w.chat {
		return "text_completion"
	}
	if suffix == "" {
		return "chat.completion"
	}
	return "chat.completion." + suffix
}

func (w *writer) event(value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode part of answer")
	}
	return w.raw("data: " + string(data) + "\n\n")
}

func (w *writer) raw(text string) error {
	resp := w.c.Response()
	if !resp.Committed {
		resp.Header().Set(echo.HeaderContentType, "text/event-stream")
		resp.Header().Set(echo.HeaderCacheControl, "no-cache")
		resp.WriteHeader(http.StatusOK)
	}
	control := http.NewResponseController(resp.Writer)
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := resp.Write([]byte(text)); err != nil {
		return errors.Wrap(err, "write to caller")
	}
	return control.Flush()
}

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

// completionWriter writes the chunks of a response as server-sent events, or collects them into one JSON body.
type completionWriter struct {
	c            echo.Context
	chat         bool
	stream       bool
	includeUsage bool
	model        string
	id           string
	promptTokens int64

	created          int64
	text             strings.Builder
	completionTokens int64
	finishReason     string
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
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

func (w *completionWriter) writeChunk(chunk fuchsiaspoke.Chunk) error {
	if w.created == 0 {
		w.created = time.Now().Unix()
	}
	w.completionTokens += chunk.Tokens
	w.finishReason = chunk.FinishReason
	if chunk.PromptTokens > 0 {
		w.promptTokens = chunk.PromptTokens
	}
	if !w.stream {
		w.text.WriteString(chunk.Text)
		return nil
	}
	return w.writeEvent(w.streamCompletion(chunk))
}

// finish completes a response whose last chunk was received.
func (w *completionWriter) finish() error {
	if w.finishReason == "" {
		return w.abort(errors.New("the answer ended without a finish reason"))
	}
	if !w.stream {
		return w.c.JSON(http.StatusOK, w.fullCompletion())
	}
	if w.includeUsage {
		if err := w.writeEvent(completion{ID: w.id, Object: w.objectType("chunk"), Created: w.created, Model: w.model, Choices: []choice{}, Usage: w.tokenUsage()}); err != nil {
			return err
		}
	}
	return w.write("data: [DONE]\n\n")
}

// abort ends an incomplete response and returns err. If the stream has begun it writes an error event, and no [DONE] event;
// otherwise the error handler sends an error status.
func (w *completionWriter) abort(err error) error {
	if !w.c.Response().Committed {
		return err
	}
	data, marshalErr := json.Marshal(newErrorResponse(toRefusal(err)))
	if marshalErr == nil {
		_ = w.write("data: " + string(data) + "\n\n")
	}
	return err
}

func (w *completionWriter) streamCompletion(chunk fuchsiaspoke.Chunk) completion {
	streamed := choice{}
	if chunk.FinishReason != "" {
		streamed.FinishReason = &chunk.FinishReason
	}
	if w.chat {
		streamed.Delta = &message{Content: chunk.Text}
		if chunk.Index == 0 {
			streamed.Delta.Role = "assistant"
		}
	} else {
		streamed.Text = &chunk.Text
	}
	return completion{ID: w.id, Object: w.objectType("chunk"), Created: w.created, Model: w.model, Choices: []choice{streamed}}
}

func (w *completionWriter) fullCompletion() completion {
	text := w.text.String()
	single := choice{FinishReason: &w.finishReason}
	if w.chat {
		single.Message = &message{Role: "assistant", Content: text}
	} else {
		single.Text = &text
	}
	return completion{ID: w.id, Object: w.objectType(""), Created: w.created, Model: w.model, Choices: []choice{single}, Usage: w.tokenUsage()}
}

func (w *completionWriter) tokenUsage() *usage {
	return &usage{PromptTokens: w.promptTokens, CompletionTokens: w.completionTokens, TotalTokens: w.promptTokens + w.completionTokens}
}

func (w *completionWriter) objectType(suffix string) string {
	if !w.chat {
		return "text_completion"
	}
	if suffix == "" {
		return "chat.completion"
	}
	return "chat.completion." + suffix
}

func (w *completionWriter) writeEvent(value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode event")
	}
	return w.write("data: " + string(data) + "\n\n")
}

func (w *completionWriter) write(text string) error {
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

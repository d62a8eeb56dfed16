package listener

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/labstack/echo/v4"
)

// messageOverheadTokens bounds what a chat template adds to one message.
const messageOverheadTokens = 8

// completionRequest is the allow-list of fields that reach an engine, and the ones that the entry VM reads itself.
type completionRequest struct {
	Model    string          `json:"model"`
	Prompt   json.RawMessage `json:"prompt,omitempty"`
	Messages []chatMessage   `json:"messages,omitempty"`

	MaxTokens           int64           `json:"max_tokens,omitempty"`
	MaxCompletionTokens int64           `json:"max_completion_tokens,omitempty"`
	Stream              bool            `json:"stream,omitempty"`
	StreamOptions       *streamOptions  `json:"stream_options,omitempty"`
	N                   int64           `json:"n,omitempty"`
	Temperature         *float64        `json:"temperature,omitempty"`
	TopP                *float64        `json:"top_p,omitempty"`
	Stop                json.RawMessage `json:"stop,omitempty"`
	Seed                *int64          `json:"seed,omitempty"`
	PresencePenalty     *float64        `json:"presence_penalty,omitempty"`
	FrequencyPenalty    *float64        `json:"frequency_penalty,omitempty"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Name    string          `json:"name,omitempty"`
	Content json.RawMessage `json:"content"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage,omitempty"`
}

// engineBody is the part of a request that an engine gets.
type engineBody struct {
	Prompt           json.RawMessage `json:"prompt,omitempty"`
	Messages         []chatMessage   `json:"messages,omitempty"`
	Temperature      *float64        `json:"temperature,omitempty"`
	TopP             *float64        `json:"top_p,omitempty"`
	Stop             json.RawMessage `json:"stop,omitempty"`
	Seed             *int64          `json:"seed,omitempty"`
	PresencePenalty  *float64        `json:"presence_penalty,omitempty"`
	FrequencyPenalty *float64        `json:"frequency_penalty,omitempty"`
}

func (l *Listener) complete(c echo.Context) error { return l.generate(c, false) }

func (l *Listener) chat(c echo.Context) error { return l.generate(c, true) }

func (l *Listener) generate(c echo.Context, chat bool) error {
	if !l.Ready() {
		return starting()
	}
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return unread(err)
	}
	key, keyHash, err := credentials(c.Request())
	if err != nil {
		return err
	}
	if carriesKey(body, key) {
		return invalid("the request's body carries the caller's key")
	}
	request, err := parseCompletion(body, chat)
	if err != nil {
		return err
	}
	g, err := request.generation(chat)
	if err != nil {
		return err
	}
	g.RequestID = requestID(c)
	g.KeyHash = keyHash
	out := &writer{c: c, chat: chat, stream: request.Stream, model: request.Model, id: g.RequestID, promptTokens: g.PromptTokens}
	if request.StreamOptions != nil {
		out.usage = request.StreamOptions.IncludeUsage
	}
	if err := l.Admitter.Generate(c.Request().Context(), g, out.add); err != nil {
		return out.fail(err)
	}
	return out.finish()
}

func parseCompletion(body []byte, chat bool) (completionRequest, error) {
	var request completionRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return request, invalid("the request's body is not valid: " + err.Error())
	}
	switch {
	case request.Model == "":
		return request, invalid("model must name a profile")
	case request.N > 1:
		return request, invalid("n must be 1")
	case request.MaxTokens < 0 || request.MaxCompletionTokens < 0:
		return request, invalid("max_tokens must not be negative")
	case chat && len(request.Messages) == 0:
		return request, invalid("messages must not be empty")
	case !chat && len(request.Prompt) == 0:
		return request, invalid("prompt must not be empty")
	}
	return request, nil
}

func (q completionRequest) generation(chat bool) (fuchsiaspoke.Generation, error) {
	body, err := json.Marshal(engineBody{
		Prompt: q.Prompt, Messages: q.Messages, Temperature: q.Temperature, TopP: q.TopP,
		Stop: q.Stop, Seed: q.Seed, PresencePenalty: q.PresencePenalty, FrequencyPenalty: q.FrequencyPenalty,
	})
	if err != nil {
		return fuchsiaspoke.Generation{}, invalid("the request's body is not valid: " + err.Error())
	}
	return fuchsiaspoke.Generation{
		Profile:         q.Model,
		Chat:            chat,
		Body:            body,
		PromptTokens:    q.promptBound(),
		MaxOutputTokens: max(q.MaxTokens, q.MaxCompletionTokens),
	}, nil
}

// promptBound bounds the prompt's tokens: a byte-level tokenizer makes at least one byte of each token.
func (q completionRequest) promptBound() int64 {
	bound := int64(len(q.Prompt))
	for _, message := range q.Messages {
		bound += int64(len(message.Content)+len(message.Role)+len(message.Name)) + messageOverheadTokens
	}
	return bound
}

func starting() error {
	return (fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeStarting, Message: "this VM has not yet learned what is published",
		Run: fuchsiaspoke.NotRun, Status: http.StatusServiceUnavailable,
	}).WithRetryAfter(KeepAnswer / 10)
}

func unread(err error) error {
	refusal := typed(err)
	if refusal.Code == fuchsiaspoke.CodeTooLarge {
		return refusal
	}
	return invalid("the request's body could not be read: " + err.Error())
}

package listener

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/labstack/echo/v4"
)

// messageOverheadTokens is an upper bound on the tokens that a chat template adds to one message.
const messageOverheadTokens = 8

// completionRequest is the body of a completion or chat completion request. Other fields of the body are dropped.
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

// engineRequest has the fields of a request that are passed on to the engine.
type engineRequest struct {
	Prompt           json.RawMessage `json:"prompt,omitempty"`
	Messages         []chatMessage   `json:"messages,omitempty"`
	Temperature      *float64        `json:"temperature,omitempty"`
	TopP             *float64        `json:"top_p,omitempty"`
	Stop             json.RawMessage `json:"stop,omitempty"`
	Seed             *int64          `json:"seed,omitempty"`
	PresencePenalty  *float64        `json:"presence_penalty,omitempty"`
	FrequencyPenalty *float64        `json:"frequency_penalty,omitempty"`
}

func (l *Listener) createCompletion(c echo.Context) error { return l.generate(c, false) }

func (l *Listener) createChatCompletion(c echo.Context) error { return l.generate(c, true) }

func (l *Listener) generate(c echo.Context, chat bool) error {
	if !l.Ready() {
		return notReady()
	}
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return bodyReadError(err)
	}
	key, keyHash, err := credentials(c.Request())
	if err != nil {
		return err
	}
	if containsKey(body, key) {
		return invalidRequest("request body must not contain the caller's key")
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
	out := &completionWriter{c: c, chat: chat, stream: request.Stream, model: request.Model, id: g.RequestID, promptTokens: g.PromptTokens}
	if request.StreamOptions != nil {
		out.includeUsage = request.StreamOptions.IncludeUsage
	}
	if err := l.Admitter.Generate(c.Request().Context(), g, out.writeChunk); err != nil {
		return out.abort(err)
	}
	return out.finish()
}

func parseCompletion(body []byte, chat bool) (completionRequest, error) {
	var request completionRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return request, invalidRequest("decode request body: " + err.Error())
	}
	switch {
	case request.Model == "":
		return request, invalidRequest("model is missing; it must name a profile")
	case request.N > 1:
		return request, invalidRequest("n must be 1")
	case request.MaxTokens < 0 || request.MaxCompletionTokens < 0:
		return request, invalidRequest("max_tokens and max_completion_tokens must not be negative")
	case chat && len(request.Messages) == 0:
		return request, invalidRequest("messages must not be empty")
	case !chat && len(request.Prompt) == 0:
		return request, invalidRequest("prompt must not be empty")
	}
	return request, nil
}

func (r completionRequest) generation(chat bool) (fuchsiaspoke.Generation, error) {
	body, err := json.Marshal(engineRequest{
		Prompt: r.Prompt, Messages: r.Messages, Temperature: r.Temperature, TopP: r.TopP,
		Stop: r.Stop, Seed: r.Seed, PresencePenalty: r.PresencePenalty, FrequencyPenalty: r.FrequencyPenalty,
	})
	if err != nil {
		return fuchsiaspoke.Generation{}, invalidRequest("encode request body for the engine: " + err.Error())
	}
	return fuchsiaspoke.Generation{
		Profile:         r.Model,
		Chat:            chat,
		Body:            body,
		PromptTokens:    r.maxPromptTokens(),
		MaxOutputTokens: max(r.MaxTokens, r.MaxCompletionTokens),
	}, nil
}

// maxPromptTokens returns an upper bound on the prompt's tokens: each token of a byte-level tokenizer covers at least one byte.
func (r completionRequest) maxPromptTokens() int64 {
	maxTokens := int64(len(r.Prompt))
	for _, message := range r.Messages {
		maxTokens += int64(len(message.Content)+len(message.Role)+len(message.Name)) + messageOverheadTokens
	}
	return maxTokens
}

func notReady() error {
	return (fuchsiaspoke.Refusal{
		Code: fuchsiaspoke.CodeStarting, Message: "this VM is not ready to serve requests yet",
		Run: fuchsiaspoke.NotRun, Status: http.StatusServiceUnavailable,
	}).WithRetryAfter(EntryTTL / 10)
}

// bodyReadError returns the refusal for a request whose body could not be read.
func bodyReadError(err error) error {
	refusal := toRefusal(err)
	if refusal.Code == fuchsiaspoke.CodeTooLarge {
		return refusal
	}
	return invalidRequest("read request body: " + err.Error())
}

package proof

import (
	"encoding/json"
	"fmt"
	"strings"
)

// prompt is one generation request; the text, adapter and token count determine the expected answer.
type prompt struct {
	text         string
	adapterIndex int
	tokens       int
}

func (p prompt) body(stream bool) string {
	return fmt.Sprintf(`{"model":"guide_%d","prompt":%q,"max_tokens":%d,"stream":%t}`, p.adapterIndex, p.text, p.tokens, stream)
}

// parseAnswer returns the text that the caller received, and whether it was presented as complete.
func parseAnswer(got response, stream bool) (text string, complete bool) {
	type body struct {
		Choices []struct{ Text string }
		Error   *struct{ Code string }
	}
	if !stream {
		var b body
		if got.status != 200 || got.err != nil || json.Unmarshal(got.body, &b) != nil || len(b.Choices) != 1 {
			return "", false
		}
		return b.Choices[0].Text, true
	}
	for _, line := range strings.Split(string(got.body), "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, got.err == nil && !complete
		}
		var b body
		if json.Unmarshal([]byte(data), &b) == nil && len(b.Choices) == 1 {
			text += b.Choices[0].Text
		}
	}
	return text, false
}

// adapterVersionIn returns the adapter version that produced the text. It returns an error unless the text is the complete answer of
// one version of the prompt's adapter to this prompt, or with allowPrefix a prefix of it.
func (p prompt) adapterVersionIn(text string, allowPrefix bool) (int, error) {
	parts := strings.Fields(text)
	if !allowPrefix && len(parts) != p.tokens || len(parts) > p.tokens {
		return 0, fmt.Errorf("got %d tokens, want %d", len(parts), p.tokens)
	}
	version := 0
	for n, part := range parts {
		var v int
		_, err := fmt.Sscanf(part, fmt.Sprintf("adapter_%d@%%d/%s/%d", p.adapterIndex, sha256Hex(p.text)[:8], n), &v)
		if err != nil || part != fmt.Sprintf("adapter_%d@%d/%s/%d", p.adapterIndex, v, sha256Hex(p.text)[:8], n) {
			return 0, fmt.Errorf("token %d is %q, which does not belong to this prompt and position", n, part)
		}
		if n > 0 && v != version {
			return 0, fmt.Errorf("token %d is of adapter version %d, the one before of version %d", n, v, version)
		}
		version = v
	}
	return version, nil
}

func (p prompt) isCompleteAnswer(got response, stream bool) bool {
	text, complete := parseAnswer(got, stream)
	if !complete {
		return false
	}
	_, err := p.adapterVersionIn(text, false)
	return err == nil
}

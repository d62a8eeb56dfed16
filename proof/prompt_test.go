package proof

import (
	"encoding/json"
	"fmt"
	"strings"
)

// prompt is one generation that a caller asks for, by which its answer is known.
type prompt struct {
	text    string
	adapter int
	tokens  int
}

func (p prompt) body(stream bool) string {
	return fmt.Sprintf(`{"model":"guide_%d","prompt":%q,"max_tokens":%d,"stream":%t}`, p.adapter, p.text, p.tokens, stream)
}

// text of an answer: what the caller was given as its own, and whether it was presented as whole.
func textOf(got answer, stream bool) (text string, whole bool) {
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
			return text, got.err == nil && !whole
		}
		var b body
		if json.Unmarshal([]byte(data), &b) == nil && len(b.Choices) == 1 {
			text += b.Choices[0].Text
		}
	}
	return text, false
}

// versionOf returns the one version that all of the text is of, if the text is the whole answer to this prompt from this
// prompt's adapter, or where short is set a first part of it.
func (p prompt) versionOf(text string, short bool) (int, error) {
	parts := strings.Fields(text)
	if !short && len(parts) != p.tokens || len(parts) > p.tokens {
		return 0, fmt.Errorf("%d tokens in place of %d", len(parts), p.tokens)
	}
	version := 0
	for n, part := range parts {
		var v int
		_, err := fmt.Sscanf(part, fmt.Sprintf("adapter_%d@%%d/%s/%d", p.adapter, hash(p.text)[:8], n), &v)
		if err != nil || part != fmt.Sprintf("adapter_%d@%d/%s/%d", p.adapter, v, hash(p.text)[:8], n) {
			return 0, fmt.Errorf("token %d is %q", n, part)
		}
		if n > 0 && v != version {
			return 0, fmt.Errorf("token %d is of version %d after version %d", n, v, version)
		}
		version = v
	}
	return version, nil
}

func (p prompt) isWhole(got answer, stream bool) bool {
	text, whole := textOf(got, stream)
	if !whole {
		return false
	}
	_, err := p.versionOf(text, false)
	return err == nil
}

package recorder

import "strings"

const (
	maxStringBytes = 512
	// minMixedSecretBytes is the length from which a word of upper case, lower case and digits is redacted.
	minMixedSecretBytes = 20
	// minAlphanumericSecretBytes is the length of a run of letters and digits, without - and _, from which the word that
	// contains it is redacted.
	minAlphanumericSecretBytes = 24
	// minHexSecretBytes is the length from which a word of hexadecimal digits and - is redacted.
	minHexSecretBytes = 32
	redactedText      = "[redacted]"
)

// authSchemes are the HTTP authentication schemes. The word after one is a credential and is redacted.
var authSchemes = map[string]bool{"bearer": true, "basic": true}

// secretLabels are the words whose value, after a : or =, is redacted.
var secretLabels = map[string]bool{
	"authorization": true, "key": true, "api_key": true, "api-key": true, "apikey": true, "x-api-key": true,
	"token": true, "access_token": true, "secret": true, "password": true, "cookie": true,
}

// redact replaces words that look like key material or follow a label of a secret.
func redact(s string) string {
	s = sanitize(s)
	var b strings.Builder
	copiedEnd, previous, previousEnd := 0, "", 0
	for start := 0; start < len(s); {
		end := wordEnd(s, start)
		if end == start {
			start++
			continue
		}
		word := s[start:end]
		if followsSecretLabel(previous, s[previousEnd:start], word) || looksLikeSecret(word) {
			b.WriteString(s[copiedEnd:start])
			b.WriteString(redactedText)
			copiedEnd = end
		}
		previous, previousEnd, start = word, end, end
	}
	if copiedEnd == 0 {
		return s
	}
	b.WriteString(s[copiedEnd:])
	return b.String()
}

func wordEnd(s string, start int) int {
	end := start
	for end < len(s) && (isLetterOrDigit(s[end]) || s[end] == '_' || s[end] == '-') {
		end++
	}
	return end
}

// followsSecretLabel reports whether the word follows an authentication scheme, or a secret label and a separator with
// : or =. An authentication scheme after a label is not itself a secret.
func followsSecretLabel(previous, separator, word string) bool {
	previous, word = strings.ToLower(previous), strings.ToLower(word)
	if authSchemes[previous] {
		return true
	}
	return secretLabels[previous] && strings.ContainsAny(separator, ":=") && !authSchemes[word]
}

func looksLikeSecret(word string) bool {
	var upper, lower, digit bool
	run, longestRun, allHex := 0, 0, true
	for i := range len(word) {
		c := word[i]
		upper = upper || c >= 'A' && c <= 'Z'
		lower = lower || c >= 'a' && c <= 'z'
		digit = digit || c >= '0' && c <= '9'
		allHex = allHex && (c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F' || c == '-')
		run++
		if !isLetterOrDigit(c) {
			run = 0
		}
		longestRun = max(longestRun, run)
	}
	mixed := upper && lower && digit && len(word) >= minMixedSecretBytes
	return mixed || longestRun >= minAlphanumericSecretBytes || allHex && len(word) >= minHexSecretBytes
}

func isLetterOrDigit(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}

// sanitize truncates a string to maxStringBytes and replaces control characters with spaces, so that an event fits on one
// line.
func sanitize(s string) string {
	if len(s) > maxStringBytes {
		s = strings.ToValidUTF8(s[:maxStringBytes], "")
	}
	if !strings.ContainsFunc(s, isControl) {
		return s
	}
	return strings.Map(func(r rune) rune {
		if isControl(r) {
			return ' '
		}
		return r
	}, s)
}

func isControl(r rune) bool {
	return r < ' ' || r == 0x7f
}

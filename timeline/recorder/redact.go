package recorder

import "strings"

const (
	maxStringBytes = 512
	// minMixedBytes is the length from which a word with capitals, small letters and digits counts as key material.
	minMixedBytes = 20
	// minRunBytes is the length from which letters and digits without - and _ count as key material.
	minRunBytes = 24
	// minHexBytes is the length from which hexadecimal digits and - count as key material.
	minHexBytes = 32
	redacted    = "[redacted]"
)

// schemes are the words after which the next word is key material.
var schemes = map[string]bool{"bearer": true, "basic": true}

// labels are the words after which a : or = and key material follow.
var labels = map[string]bool{
	"authorization": true, "key": true, "api_key": true, "api-key": true, "apikey": true, "x-api-key": true,
	"token": true, "access_token": true, "secret": true, "password": true, "cookie": true,
}

// scrub replaces what may be key material, by its form or by the word before it.
func scrub(s string) string {
	s = cut(s)
	var b strings.Builder
	kept, before, beforeEnd := 0, "", 0
	for start := 0; start < len(s); {
		end := wordEnd(s, start)
		if end == start {
			start++
			continue
		}
		word := s[start:end]
		if announced(before, s[beforeEnd:start], word) || secretForm(word) {
			b.WriteString(s[kept:start])
			b.WriteString(redacted)
			kept = end
		}
		before, beforeEnd, start = word, end, end
	}
	if kept == 0 {
		return s
	}
	b.WriteString(s[kept:])
	return b.String()
}

func wordEnd(s string, start int) int {
	end := start
	for end < len(s) && (letterOrDigit(s[end]) || s[end] == '_' || s[end] == '-') {
		end++
	}
	return end
}

// announced reports whether the word before, or the label and the separator before, make the word key material.
func announced(before, between, word string) bool {
	before, word = strings.ToLower(before), strings.ToLower(word)
	if schemes[before] {
		return true
	}
	return labels[before] && strings.ContainsAny(between, ":=") && !schemes[word]
}

func secretForm(word string) bool {
	var upper, lower, digit bool
	run, longest, hex := 0, 0, true
	for i := range len(word) {
		c := word[i]
		upper = upper || c >= 'A' && c <= 'Z'
		lower = lower || c >= 'a' && c <= 'z'
		digit = digit || c >= '0' && c <= '9'
		hex = hex && (c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F' || c == '-')
		run++
		if !letterOrDigit(c) {
			run = 0
		}
		longest = max(longest, run)
	}
	mixed := upper && lower && digit && len(word) >= minMixedBytes
	return mixed || longest >= minRunBytes || hex && len(word) >= minHexBytes
}

func letterOrDigit(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}

// cut shortens a string and takes its line breaks out, so that an event stays on one line.
func cut(s string) string {
	if len(s) > maxStringBytes {
		s = strings.ToValidUTF8(s[:maxStringBytes], "")
	}
	if !strings.ContainsFunc(s, control) {
		return s
	}
	return strings.Map(func(r rune) rune {
		if control(r) {
			return ' '
		}
		return r
	}, s)
}

func control(r rune) bool {
	return r < ' ' || r == 0x7f
}

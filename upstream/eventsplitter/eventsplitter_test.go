package eventsplitter_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/fuchsiaspoke/fuchsiaspoke/upstream/eventsplitter"
)

func ExampleSplitter() {
	var s eventsplitter.Splitter
	fmt.Printf("%q\n", s.Add([]byte("id: 1\ndata: a\n\nid: 2\n")))
	fmt.Printf("%q\n", s.Rest())
	fmt.Printf("%q\n", s.Add([]byte("data: b\n\n")))
	fmt.Printf("%q\n", s.Rest())
	// Output:
	// "id: 1\ndata: a\n\n"
	// "id: 2\n"
	// "id: 2\ndata: b\n\n"
	// ""
}

// The same events come out wherever the stream is divided into reads, with each kind of line end.
func TestEventsDoNotDependOnReads(t *testing.T) {
	for _, lineEnd := range []string{"\n", "\r", "\r\n"} {
		events := strings.ReplaceAll("id: 1\ndata: a\n\n: comment\n\nid: 2\ndata: b\ndata: c\n\n", "\n", lineEnd)
		rest := strings.ReplaceAll("id: 3\ndata: d\n", "\n", lineEnd)
		stream := events + rest
		for i := range len(stream) {
			for j := i; j < len(stream); j++ {
				var s eventsplitter.Splitter
				got := ""
				for _, part := range []string{stream[:i], stream[i:j], stream[j:]} {
					got += string(s.Add([]byte(part)))
				}
				if got != events || string(s.Rest()) != rest {
					t.Fatalf("line end %q, divided at %d and %d: events %q, rest %q", lineEnd, i, j, got, s.Rest())
				}
			}
		}
	}
}

// The same events come out of a splitter whose memory is resized between reads, and its memory is of that size.
func TestEventsDoNotDependOnMemory(t *testing.T) {
	const stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n"
	var whole eventsplitter.Splitter
	want, wantRest := string(whole.Add([]byte(stream))), string(whole.Rest())
	for n := 1; n <= len(stream); n++ {
		var s eventsplitter.Splitter
		got := ""
		for part := range slices.Chunk([]byte(stream), n) {
			got += string(s.Add(part))
			size := len(s.Rest()) + 100
			if s.Resize(size); s.Held() != size {
				t.Fatalf("%d bytes held, want %d", s.Held(), size)
			}
		}
		if got != want || string(s.Rest()) != wantRest {
			t.Fatalf("reads of %d bytes: events %q, rest %q", n, got, s.Rest())
		}
	}
}

func FuzzSplitter(f *testing.F) {
	f.Add([]byte("id: 1\r\n\r\ndata\r\r\n\n"), 4)
	f.Fuzz(func(t *testing.T, stream []byte, at int) {
		at = min(max(at, 0), len(stream))
		var divided, whole eventsplitter.Splitter
		got := string(divided.Add(stream[:at]))
		got += string(divided.Add(stream[at:]))
		want := string(whole.Add(stream))
		if got != want || string(divided.Rest()) != string(whole.Rest()) || want+string(whole.Rest()) != string(stream) {
			t.Fatalf("divided: %q and %q; whole: %q and %q", got, divided.Rest(), want, whole.Rest())
		}
	})
}

// Skip and Add agree on whether a stream is inside an event.
func TestSkipAgreesWithAdd(t *testing.T) {
	for _, stream := range []string{
		"a", "a\n", "a\n\n", "a\n\nb", "a\r\r", "a\r\n\r\n", "a\r\n\r", "a\r\n", "a\n\nb\n", "\n", "\r", "a\n\n\n", "a\n\r\n", "a\n\r",
	} {
		for size := 1; size <= len(stream); size++ {
			var kept, skipped eventsplitter.Splitter
			inside := false
			for part := range slices.Chunk([]byte(stream), size) {
				kept.Add(part)
				inside = skipped.Skip(part)
			}
			if want := len(kept.Rest()) > 0; inside != want {
				t.Errorf("%q in parts of %d: inside %v, want %v", stream, size, inside, want)
			}
		}
	}
}

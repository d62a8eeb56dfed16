package sender

import "testing"

func TestEventsBeyondTheirTokensAreNotAccepted(t *testing.T) {
	o := eventOrder{max: 3}
	if got, err := o.accept([]byte("id: 1\n\n: comment\n\nid: 2\n\n")); err != nil || len(got) == 0 {
		t.Errorf("two of three events: accepted %q, error %v", got, err)
	}
	o.restart()
	if got, err := o.accept([]byte("id: 1\n\nid: 2\n\n")); err != errTooManyEvents || string(got) != "id: 1\n\n" {
		t.Errorf("two more: accepted %q, error %v", got, err)
	}
}

func TestEventsUpToTheFirstOutOfOrderAreAccepted(t *testing.T) {
	for _, c := range []struct{ events, inOrder string }{
		{"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"},
		{"id: 9\n\nid: 10\n\n: comment\n\nid: 11\n\n", "id: 9\n\nid: 10\n\n: comment\n\nid: 11\n\n"},
		{"id: 1\ndata: a\n\ndata: x\nid: 1\n\nid: 2\n\n", "id: 1\ndata: a\n\n"},
		{"id: 5\r\n\r\nid: 4\r\n\r\n", "id: 5\r\n\r\n"},
		{"id: 5\r\rid: 4\r\r", "id: 5\r\r"},
		{"id: 5\n\nid:\n\nid: 5\n\n", "id: 5\n\nid:\n\n"},
		{"id: b\n\nid: a\n\nid: a\n\n", "id: b\n\nid: a\n\n"},
	} {
		var o eventOrder
		got, err := o.accept([]byte(c.events))
		if string(got) != c.inOrder || (err == nil) != (c.events == c.inOrder) {
			t.Errorf("%q: accepted %q, error %v, want %q", c.events, got, err, c.inOrder)
		}
	}
}

package state

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// A name of the length of a query was repeated in an error of four times that length, which its client was sent, and in the
// log, where it took the place of a thousand other lines.
func TestLongNamesAreRepeatedInShort(t *testing.T) {
	const maxText = 1 << 10
	name := strings.Repeat("\xff", 128<<10)
	h := newHarness(t, 9)
	if _, err := h.dispatcher.Submit(Request{Class: name}); err == nil || len(err.Error()) > maxText {
		t.Errorf("unknown class: error %.100v", err)
	}
	var log bytes.Buffer
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	defer slog.SetDefault(previous)
	id, err := h.dispatcher.Submit(Request{ClientRequestID: name, Class: "any", Timeout: time.Second, Query: fakeQuery{},
		Responder: &fakeResponder{}})
	if err != nil {
		t.Fatal(err)
	}
	h.dispatcher.Fail(id)
	if lines := strings.Count(log.String(), "id="); lines != 2 || log.Len() > maxText {
		t.Errorf("%d lines of %d bytes were logged", lines, log.Len())
	}
}

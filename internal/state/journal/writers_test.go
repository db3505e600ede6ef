package journal

import (
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/legacylog"
	"cherrytrestle.example/cherrytrestle/policy"
)

const benchBodySize = 1000 // bytes

// writer is a journal or a legacy log to which a benchmark writes.
type writer interface {
	accept(id policy.MessageID) error
	remove(id policy.MessageID) error
	close() error
}

// writerKind names an implementation of writer.
type writerKind string

const (
	legacyKind  writerKind = "log"
	journalKind writerKind = "journal"
)

func openWriter(t testing.TB, kind writerKind, dir string, limit int64) writer {
	t.Helper()
	if kind == legacyKind {
		return openLegacyWriter(t, dir, limit)
	}
	return openJournalWriter(t, dir, limit)
}

// benchMessage returns a message as a client may send it, with a body of bodySize zero bytes.
func benchMessage(id policy.MessageID, bodySize int) *Message {
	return &Message{
		ID:             id,
		TraceID:        "9b1f03aa5c7e2d41",
		IdempotencyKey: "5c0f6e1a2b3d4c59a8b7c6d5e4f30211",
		Deadline:       time.Unix(1e9, 0),
		Body:           make([]byte, bodySize),
	}
}

type journalWriter struct {
	journal  *Journal
	messages map[policy.MessageID]*Message
}

func openJournalWriter(t testing.TB, dir string, limit int64) *journalWriter {
	t.Helper()
	j, recovery, err := OpenFolder(dir, Options{Limit: limit})
	must(t, err)
	w := &journalWriter{journal: j, messages: map[policy.MessageID]*Message{}}
	for _, m := range recovery.Messages {
		w.messages[m.ID] = m
	}
	return w
}

func (w *journalWriter) accept(id policy.MessageID) error {
	m := benchMessage(id, benchBodySize)
	w.messages[id] = m
	return w.journal.Accept(m)
}

func (w *journalWriter) remove(id policy.MessageID) error {
	w.journal.Remove(w.messages[id])
	delete(w.messages, id)
	return w.journal.Flush()
}

func (w *journalWriter) close() error { return w.journal.Close() }

type legacyWriter struct {
	log      *legacylog.Log
	messages map[policy.MessageID]*legacylog.Message
}

func openLegacyWriter(t testing.TB, dir string, limit int64) *legacyWriter {
	t.Helper()
	log, recovery, err := legacylog.Open(dir, limit)
	must(t, err)
	w := &legacyWriter{log: log, messages: map[policy.MessageID]*legacylog.Message{}}
	for _, m := range recovery.Messages {
		w.messages[policy.MessageID(m.ID)] = m
	}
	return w
}

func (w *legacyWriter) accept(id policy.MessageID) error {
	sample := benchMessage(id, benchBodySize)
	m := &legacylog.Message{
		ID:             uint32(sample.ID),
		TraceID:        sample.TraceID,
		IdempotencyKey: sample.IdempotencyKey,
		Deadline:       sample.Deadline,
		Body:           sample.Body,
	}
	w.messages[id] = m
	return w.log.Accept(m)
}

func (w *legacyWriter) remove(id policy.MessageID) error {
	w.log.Remove(w.messages[id])
	delete(w.messages, id)
	return w.log.Flush()
}

func (w *legacyWriter) close() error { return w.log.Close() }

package explain

import (
	"encoding/json"
	"io"
	"maps"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/recording/replay"
	"cherrytrestle.example/cherrytrestle/policy"
)

// The lines of the JSON form, and the records in them. Fields are sorted by key. Times are in seconds.
type (
	reportLine struct {
		Difference  *replay.Difference `json:"differs"`
		ExplainedBy string             `json:"explained_by"`
		From        float64            `json:"from"`
		Kind        string             `json:"kind"`
		Lost        []string           `json:"lost"`
		Name        string             `json:"name"`
		Notes       []string           `json:"notes"`
		Revision    string             `json:"revision"`
		Started     time.Time          `json:"started"`
		To          float64            `json:"to"`
	}
	destinationLine struct {
		Calls       map[string]int       `json:"calls"`
		Destination policy.DestinationID `json:"destination"`
		Failed      int                  `json:"failed"`
		Kind        string               `json:"kind"`
		MaxQueued   int                  `json:"queue_most"`
		Rejected    int                  `json:"refused"`
		Sent        int                  `json:"sent"`
		Accepted    int                  `json:"taken"`
		Waits       map[string]float64   `json:"waited"`
	}
	transitionLine struct {
		At          float64              `json:"at"`
		Outcome     string               `json:"by"`
		Destination policy.DestinationID `json:"destination"`
		Kind        string               `json:"kind"`
		Endpoint    string               `json:"route"`
		Text        string               `json:"what"`
	}
	messageRecord struct {
		Attempts    []attemptRecord      `json:"attempts"`
		Class       int                  `json:"class"`
		Destination policy.DestinationID `json:"destination"`
		End         string               `json:"end"`
		EndedAt     float64              `json:"ended"`
		ID          policy.MessageID     `json:"id"`
		Kind        string               `json:"kind"`
		TimeLeft    float64              `json:"left"`
		Spans       []spanRecord         `json:"spans"`
		AcceptedAt  float64              `json:"taken"`
		Trace       string               `json:"trace"`
	}
	spanRecord struct {
		Cause    string  `json:"cause"`
		From     float64 `json:"from"`
		Endpoint string  `json:"route"`
		To       float64 `json:"to"`
	}
	// attemptRecord has EndedAt, Outcome and RetryAfter only if the attempt has ended.
	attemptRecord struct {
		SentAt     float64  `json:"at"`
		EndedAt    *float64 `json:"ended,omitempty"`
		Number     int      `json:"n"`
		Outcome    string   `json:"outcome,omitempty"`
		Endpoint   string   `json:"route"`
		RetryAfter *float64 `json:"told_wait,omitempty"`
	}
)

// WriteJSON writes a report as JSON Lines: one line for the report, and one for each destination, transition and
// message. The key "kind" identifies the kind of a line. Times are in seconds of the engine's clock.
func WriteJSON(w io.Writer, report *Report) error {
	out := json.NewEncoder(w)
	if err := out.Encode(newReportLine(report)); err != nil {
		return err
	}
	for _, destination := range report.Destinations {
		if err := out.Encode(newDestinationLine(destination)); err != nil {
			return err
		}
	}
	for _, t := range report.Transitions {
		line := transitionLine{
			Kind:        "transition",
			At:          t.At.Seconds(),
			Destination: t.Destination,
			Endpoint:    t.Endpoint,
			Text:        t.Text,
			Outcome:     t.Outcome,
		}
		if err := out.Encode(line); err != nil {
			return err
		}
	}
	for _, id := range slices.Sorted(maps.Keys(report.Messages)) {
		if err := out.Encode(newMessageRecord(report.Messages[id])); err != nil {
			return err
		}
	}
	return nil
}

func newReportLine(report *Report) reportLine {
	return reportLine{
		Kind:        "report",
		Name:        report.Meta.Name,
		Revision:    report.Meta.Revision,
		ExplainedBy: report.Replay.Revision,
		From:        report.From.Seconds(),
		To:          report.To.Seconds(),
		Started:     report.Meta.Started,
		Lost:        report.Replay.Lost,
		Difference:  report.Replay.Difference,
		Notes:       report.Notes,
	}
}

func newDestinationLine(d *Destination) destinationLine {
	line := destinationLine{
		Kind:        "destination",
		Destination: d.ID,
		Accepted:    d.Accepted,
		Sent:        d.Sent,
		Calls:       map[string]int{},
		Rejected:    d.Rejected,
		Failed:      d.Failed,
		Waits:       map[string]float64{},
		MaxQueued:   d.MaxQueued,
	}
	for outcome, n := range d.Calls {
		line.Calls[OutcomeName(outcome)] = n
	}
	for cause, seconds := range d.Waits {
		line.Waits[CauseName(cause)] = seconds
	}
	return line
}

func newMessageRecord(m *Message) messageRecord {
	record := messageRecord{
		Kind:        "message",
		ID:          m.ID,
		Trace:       m.Trace,
		Destination: m.Destination,
		Class:       m.Class,
		AcceptedAt:  m.AcceptedAt.Seconds(),
		TimeLeft:    m.TimeLeft.Seconds(),
		EndedAt:     m.EndedAt.Seconds(),
		End:         m.End,
	}
	for _, span := range m.Spans {
		record.Spans = append(record.Spans, spanRecord{
			From:     span.From.Seconds(),
			To:       span.To.Seconds(),
			Cause:    CauseName(span.Cause),
			Endpoint: span.Endpoint,
		})
	}
	for _, attempt := range m.Attempts {
		record.Attempts = append(record.Attempts, newAttemptRecord(attempt))
	}
	return record
}

func newAttemptRecord(a Attempt) attemptRecord {
	record := attemptRecord{Number: a.Number, Endpoint: a.Endpoint, SentAt: a.SentAt.Seconds()}
	if a.EndedAt > 0 {
		endedAt, retryAfter := a.EndedAt.Seconds(), a.RetryAfter.Seconds()
		record.EndedAt = &endedAt
		record.Outcome = OutcomeName(a.Outcome)
		record.RetryAfter = &retryAfter
	}
	return record
}

package callerapi

import (
	"encoding/json"
	"net/http"
	"strconv"

	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/stream"
)

// DoneEvent is the last event of a complete stream.
const DoneEvent = "data: " + engineapi.DoneData + "\n\n"

// Values of the "object" field in responses.
const (
	objectChunk      = "chat.completion.chunk"
	objectChat       = "chat.completion"
	objectCompletion = "text_completion"
)

// SetStreamHeaders sets the response headers of an event stream.
func SetStreamHeaders(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("X-Accel-Buffering", "no")
}

// AppendEvent appends an event with its id, so that the caller receives both in one write. data must not contain line breaks.
func AppendEvent(dst []byte, gen string, index uint32, sum stream.Digest, data []byte) []byte {
	dst = append(dst, "id: "...)
	dst = append(dst, gen...)
	dst = append(dst, '-')
	dst = strconv.AppendUint(dst, uint64(index), 10)
	dst = append(dst, '-')
	dst = strconv.AppendUint(dst, uint64(sum), 16)
	dst = append(dst, "\ndata: "...)
	dst = append(dst, data...)
	return append(dst, "\n\n"...)
}

// ResponseBuilder rebuilds events and responses of one generation when the engine's own frames are no longer available.
type ResponseBuilder struct {
	Generation ids.Generation
	Model      string
	Chat       bool
}

// Token returns the JSON frame of the token at index.
func (s ResponseBuilder) Token(index uint32, text []byte) []byte {
	return s.frame(index, s.choice(string(text)))
}

// Finish returns the JSON frame of the end marker.
func (s ResponseBuilder) Finish(count uint32, reason string) []byte {
	ch := s.choice("")
	ch.FinishReason = &reason
	return s.frame(count, ch)
}

func (s ResponseBuilder) choice(text string) engineapi.Choice {
	if s.Chat {
		return engineapi.Choice{Delta: &engineapi.Delta{Content: text}}
	}
	return engineapi.Choice{Text: text}
}

func (s ResponseBuilder) frame(index uint32, ch engineapi.Choice) []byte {
	f := engineapi.Frame{ID: s.id(), Object: objectCompletion, Model: s.Model, Choices: []engineapi.Choice{ch}}
	if s.Chat {
		f.Object = objectChunk
	}
	f.Ext = engineapi.FrameExt{Generation: s.Generation.String(), Index: index}
	raw, err := json.Marshal(f)
	if err != nil {
		return []byte("{}")
	}
	return raw
}

func (s ResponseBuilder) id() string { return "gen-" + s.Generation.String() }

// Answer is the complete response to a request without streaming.
type Answer struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"` // seconds since 1970
	Model   string         `json:"model"`
	Choices []AnswerChoice `json:"choices"`
	Usage   Usage          `json:"usage"`
}

// AnswerChoice holds the generated text: in Text for completions, in Message for chat.
type AnswerChoice struct {
	Index        int                `json:"index"`
	Text         *string            `json:"text,omitempty"`
	Message      *engineapi.Message `json:"message,omitempty"`
	FinishReason string             `json:"finish_reason"`
}

// Usage holds token counts; PromptTokens is an estimate.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Answer returns the response for a request without streaming and sets u's total.
func (s ResponseBuilder) Answer(text, reason string, created int64, u Usage) Answer {
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	ch := AnswerChoice{FinishReason: reason, Text: &text}
	object := objectCompletion
	if s.Chat {
		ch.Text, ch.Message, object = nil, &engineapi.Message{Role: "assistant", Content: text}, objectChat
	}
	return Answer{ID: s.id(), Object: object, Created: created, Model: s.Model, Choices: []AnswerChoice{ch}, Usage: u}
}

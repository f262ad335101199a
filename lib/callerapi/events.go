package callerapi

import (
	"encoding/json"
	"net/http"
	"strconv"

	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/stream"
)

// DoneEvent is the last event of a whole stream.
const DoneEvent = "data: " + engineapi.DoneData + "\n\n"

// Names of objects in answers.
const (
	objectChunk      = "chat.completion.chunk"
	objectChat       = "chat.completion"
	objectCompletion = "text_completion"
)

// SetStreamHeaders prepares w for a stream of events.
func SetStreamHeaders(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("X-Accel-Buffering", "no")
}

// AppendEvent appends an event with its id, as one write to the caller. data is one line.
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

// ResponseBuilder builds events and answers of one generation anew, where the engine's own frames are no longer at hand.
type ResponseBuilder struct {
	Generation ids.Generation
	Model      string
	Chat       bool
}

// Token returns the frame of token index as JSON.
func (s ResponseBuilder) Token(index uint32, text []byte) []byte {
	return s.frame(index, s.choice(string(text)))
}

// Finish returns the frame of the end mark as JSON.
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

// Answer is the whole answer to an unstreamed request.
type Answer struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"` // seconds since 1970
	Model   string         `json:"model"`
	Choices []AnswerChoice `json:"choices"`
	Usage   Usage          `json:"usage"`
}

// AnswerChoice holds the text: Text for completions, Message for chat.
type AnswerChoice struct {
	Index        int                `json:"index"`
	Text         *string            `json:"text,omitempty"`
	Message      *engineapi.Message `json:"message,omitempty"`
	FinishReason string             `json:"finish_reason"`
}

// Usage counts tokens; PromptTokens is an estimate.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Answer returns the whole answer.
func (s ResponseBuilder) Answer(text, reason string, created int64, u Usage) Answer {
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	ch := AnswerChoice{FinishReason: reason, Text: &text}
	object := objectCompletion
	if s.Chat {
		ch.Text, ch.Message, object = nil, &engineapi.Message{Role: "assistant", Content: text}, objectChat
	}
	return Answer{ID: s.id(), Object: object, Created: created, Model: s.Model, Choices: []AnswerChoice{ch}, Usage: u}
}

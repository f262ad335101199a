package callerapi

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/result"
)

// Completion is a caller's request for a generation. Fields that the system does not read are forwarded unchanged.
type Completion struct {
	Chat      bool
	Model     string
	Stream    bool
	MaxTokens int    // 0: not given
	Prompt    string // text used for token counts and prefix matching
	content   []byte // prompt or messages, as JSON
	fields    map[string]json.RawMessage
}

// Body fields that the system reads or sets.
const (
	fieldModel               = "model"
	fieldPrompt              = "prompt"
	fieldMessages            = "messages"
	fieldStream              = "stream"
	fieldMaxTokens           = "max_tokens"
	fieldMaxCompletionTokens = "max_completion_tokens"
	fieldN                   = "n"
	fieldExt                 = "ext"
)

// ParseCompletion parses the body of a request to PathCompletions or, if chat is set, to PathChatCompletions.
func ParseCompletion(body []byte, chat bool) (*Completion, *result.Error) {
	c := &Completion{Chat: chat}
	if err := json.Unmarshal(body, &c.fields); err != nil || c.fields == nil {
		return nil, result.New(result.BadRequest, "the body must be one JSON object")
	}
	delete(c.fields, fieldExt)
	steps := []func(*Completion) *result.Error{checkFieldNames, readModel, readContent, readStream, readMaxTokens, readN}
	for _, step := range steps {
		if err := step(c); err != nil {
			return nil, err
		}
	}
	return c, nil
}

var systemFields = []string{
	fieldModel, fieldPrompt, fieldMessages, fieldStream, fieldMaxTokens, fieldMaxCompletionTokens, fieldN, fieldExt,
}

// checkFieldNames rejects fields whose names differ from a system field only in case. Many JSON parsers, including Go's, match
// names case-insensitively: an engine would merge a caller's "EXT" into the extension object and emit forged tokens.
func checkFieldNames(c *Completion) *result.Error {
	for name := range c.fields {
		for _, field := range systemFields {
			if name != field && strings.EqualFold(name, field) {
				return result.New(result.BadRequest, "%q: write %q", name, field)
			}
		}
	}
	return nil
}

func readModel(c *Completion) *result.Error {
	if json.Unmarshal(c.fields[fieldModel], &c.Model) != nil || c.Model == "" {
		return result.New(result.BadRequest, "model: expected a name")
	}
	return nil
}

func readContent(c *Completion) *result.Error {
	if !c.Chat {
		if json.Unmarshal(c.fields[fieldPrompt], &c.Prompt) != nil || c.Prompt == "" {
			return result.New(result.BadRequest, "prompt: expected a string that is not empty")
		}
		c.content = c.fields[fieldPrompt]
		return nil
	}
	var msgs []engineapi.Message
	if json.Unmarshal(c.fields[fieldMessages], &msgs) != nil || len(msgs) == 0 {
		return result.New(result.BadRequest, "messages: expected a list of messages with text content")
	}
	c.Prompt = engineapi.PromptText(&engineapi.Request{Messages: msgs})
	c.content = c.fields[fieldMessages]
	return nil
}

func readStream(c *Completion) *result.Error {
	raw, ok := c.fields[fieldStream]
	if ok && json.Unmarshal(raw, &c.Stream) != nil {
		return result.New(result.BadRequest, "stream: expected true or false")
	}
	return nil
}

func readMaxTokens(c *Completion) *result.Error {
	for _, name := range []string{fieldMaxTokens, fieldMaxCompletionTokens} {
		raw, ok := c.fields[name]
		if !ok || string(raw) == "null" {
			continue
		}
		if json.Unmarshal(raw, &c.MaxTokens) != nil || c.MaxTokens < 1 {
			return result.New(result.BadRequest, "%s: expected a positive number", name)
		}
	}
	return nil
}

// readN rejects requests for more than one choice: each choice would need a token stream of its own.
func readN(c *Completion) *result.Error {
	raw, ok := c.fields[fieldN]
	if !ok || string(raw) == "null" || string(raw) == "1" {
		return nil
	}
	return result.New(result.BadRequest, "n: only 1 is served")
}

// LimitMaxTokens lowers MaxTokens to limit; a limit of 0 means no limit.
func (c *Completion) LimitMaxTokens(limit int) {
	if limit > 0 && (c.MaxTokens == 0 || c.MaxTokens > limit) {
		c.MaxTokens = limit
	}
}

// PromptTokens estimates the number of tokens in the prompt.
func (c *Completion) PromptTokens() int { return engineapi.CountTokens(c.Prompt) }

// Fingerprint hashes the model and the content, so that a request sent again under another idempotency key is recognized.
func (c *Completion) Fingerprint() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(c.Model)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(c.content)
	return d.Sum64()
}

// Path returns the engine's path for this kind of request.
func (c *Completion) Path() string {
	if c.Chat {
		return engineapi.PathChatCompletions
	}
	return engineapi.PathCompletions
}

// Template is an engine request body without the value of its last field, the extension object, which differs per attempt.
type Template []byte

// Template returns the engine request body: the caller's fields, with streaming always on.
func (c *Completion) Template() Template {
	var b bytes.Buffer
	b.WriteByte('{')
	for _, name := range slices.Sorted(maps.Keys(c.fields)) {
		switch name {
		case fieldStream, fieldMaxTokens, fieldMaxCompletionTokens:
			continue
		}
		writeField(&b, name, c.fields[name])
	}
	if c.MaxTokens > 0 {
		raw, _ := json.Marshal(c.MaxTokens)
		writeField(&b, fieldMaxTokens, raw)
	}
	writeField(&b, fieldStream, []byte("true"))
	b.WriteString(`"` + fieldExt + `":`)
	return b.Bytes()
}

func writeField(b *bytes.Buffer, name string, raw []byte) {
	key, _ := json.Marshal(name)
	b.Write(key)
	b.WriteByte(':')
	b.Write(raw)
	b.WriteByte(',')
}

// WithExt completes the body for one attempt.
func (t Template) WithExt(ext *engineapi.Ext) ([]byte, error) {
	raw, err := json.Marshal(ext)
	if err != nil {
		return nil, err
	}
	body := make([]byte, 0, len(t)+len(raw)+1)
	body = append(body, t...)
	body = append(body, raw...)
	return append(body, '}'), nil
}

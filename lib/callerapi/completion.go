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

// Completion is a caller's request for a generation. Fields that the system doesn't read are kept as they came.
type Completion struct {
	Chat      bool
	Model     string
	Stream    bool
	MaxTokens int    // 0: not given
	Prompt    string // text that tokens and prefixes are counted on
	content   []byte // prompt or messages, as JSON
	fields    map[string]json.RawMessage
}

// Fields of the body that the system reads or sets.
const (
	fieldModel      = "model"
	fieldPrompt     = "prompt"
	fieldMessages   = "messages"
	fieldStream     = "stream"
	fieldMaxTokens  = "max_tokens"
	fieldMaxTokens2 = "max_completion_tokens"
	fieldN          = "n"
	fieldExt        = "ext"
)

// ParseCompletion reads a body of PathCompletions or, with chat, of PathChatCompletions.
func ParseCompletion(body []byte, chat bool) (*Completion, *result.Error) {
	c := &Completion{Chat: chat}
	if err := json.Unmarshal(body, &c.fields); err != nil || c.fields == nil {
		return nil, result.New(result.BadRequest, "the body must be one JSON object")
	}
	delete(c.fields, fieldExt)
	steps := []func(*Completion) *result.Error{checkNames, readModel, readContent, readStream, readMaxTokens, readN}
	for _, step := range steps {
		if err := step(c); err != nil {
			return nil, err
		}
	}
	return c, nil
}

var systemFields = []string{
	fieldModel, fieldPrompt, fieldMessages, fieldStream, fieldMaxTokens, fieldMaxTokens2, fieldN, fieldExt,
}

// checkNames refuses a field that is a system field but for its case. Many JSON readers, Go's among them, take "EXT" for
// "ext"; an engine would then mix the caller's values into the extension object, and forged tokens into an answer.
func checkNames(c *Completion) *result.Error {
	for name := range c.fields {
		for _, own := range systemFields {
			if name != own && strings.EqualFold(name, own) {
				return result.New(result.BadRequest, "%q: write %q", name, own)
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
	for _, name := range []string{fieldMaxTokens, fieldMaxTokens2} {
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

// readN refuses several answers to one request: the stream of tokens would be several.
func readN(c *Completion) *result.Error {
	raw, ok := c.fields[fieldN]
	if !ok || string(raw) == "null" || string(raw) == "1" {
		return nil
	}
	return result.New(result.BadRequest, "n: only 1 is served")
}

// LimitMaxTokens lowers MaxTokens to limit; 0 is no limit.
func (c *Completion) LimitMaxTokens(limit int) {
	if limit > 0 && (c.MaxTokens == 0 || c.MaxTokens > limit) {
		c.MaxTokens = limit
	}
}

// PromptTokens estimates the length of the prompt.
func (c *Completion) PromptTokens() int { return engineapi.CountTokens(c.Prompt) }

// Fingerprint identifies the content across resends under other keys: the same prompt to the same model.
func (c *Completion) Fingerprint() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(c.Model)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(c.content)
	return d.Sum64()
}

// Path is the engines' path for it.
func (c *Completion) Path() string {
	if c.Chat {
		return engineapi.PathChatCompletions
	}
	return engineapi.PathCompletions
}

// Template is a request to engines, lacking the extension object only.
type Template []byte

// Template returns the body for engines: the caller's fields, always streamed.
func (c *Completion) Template() Template {
	var b bytes.Buffer
	b.WriteByte('{')
	for _, name := range slices.Sorted(maps.Keys(c.fields)) {
		switch name {
		case fieldStream, fieldMaxTokens, fieldMaxTokens2:
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

// WithExt returns the whole body for one attempt.
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

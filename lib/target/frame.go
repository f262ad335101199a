package target

import (
	"errors"
	"fmt"

	"github.com/valyala/fastjson"

	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/ids"
)

// ErrBadFrame is returned for an event that can't be parsed as an engineapi.Frame.
var ErrBadFrame = errors.New("bad frame")

// Frame is one event of an engine's stream. Its slices are valid until the next call to Stream.Next.
type Frame struct {
	Raw        []byte // the event's data, one line of JSON
	Generation ids.Generation
	Attempt    uint32
	Index      uint32 // token index; if Finish is set, the number of tokens
	Text       []byte
	Finish     string // finish reason of the last frame; empty on a token
	Err        *engineapi.Error
}

// frameParser parses frames without allocating once its buffers have grown.
type frameParser struct {
	parser fastjson.Parser
}

// parse fills f from data.
func (fp *frameParser) parse(data []byte, f *Frame) error {
	v, err := fp.parser.ParseBytes(data)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrBadFrame, err)
	}
	*f = Frame{Raw: data}
	if e := v.Get("error"); e != nil && e.Type() == fastjson.TypeObject {
		f.Err = parseError(e)
		if ext := v.Get("ext"); len(ext.GetStringBytes("generation")) > 0 {
			return f.readExt(ext)
		}
		return nil
	}
	if err := f.readExt(v.Get("ext")); err != nil {
		return err
	}
	return f.readChoice(v.Get("choices", "0"))
}

func (f *Frame) readExt(ext *fastjson.Value) error {
	if ext == nil {
		return fmt.Errorf("%w: no ext", ErrBadFrame)
	}
	g, err := parseGeneration(ext.GetStringBytes("generation"))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrBadFrame, err)
	}
	f.Generation = g
	if f.Attempt, err = parseNumber(ext, "attempt"); err != nil {
		return err
	}
	f.Index, err = parseNumber(ext, "index")
	return err
}

func (f *Frame) readChoice(choice *fastjson.Value) error {
	if choice == nil {
		return fmt.Errorf("%w: no choices", ErrBadFrame)
	}
	f.Finish = finishReason(choice.GetStringBytes("finish_reason"))
	if d := choice.Get("delta"); d != nil && d.Type() == fastjson.TypeObject {
		f.Text = d.GetStringBytes("content")
		return nil
	}
	f.Text = choice.GetStringBytes("text")
	return nil
}

// finishReason avoids an allocation for the two common values.
func finishReason(b []byte) string {
	switch string(b) {
	case "":
		return ""
	case "stop":
		return "stop"
	case "length":
		return "length"
	}
	return string(b)
}

func parseNumber(v *fastjson.Value, key string) (uint32, error) {
	n := v.Get(key)
	if n == nil {
		return 0, fmt.Errorf("%w: ext has no %s", ErrBadFrame, key)
	}
	u, err := n.Uint64()
	if err != nil || u > 1<<31 {
		return 0, fmt.Errorf("%w: bad %s", ErrBadFrame, key)
	}
	return uint32(u), nil
}

func parseError(e *fastjson.Value) *engineapi.Error {
	return &engineapi.Error{
		Type:    string(e.GetStringBytes("type")),
		Message: string(e.GetStringBytes("message")),
		NotRun:  e.GetBool("not_run"),
	}
}

// parseGeneration is ids.Parse for bytes, without the conversion to a string.
func parseGeneration(b []byte) (ids.Generation, error) {
	var g ids.Generation
	if len(b) != 2*ids.Size {
		return g, ids.ErrBadGeneration
	}
	for i := range g {
		hi, lo := hexDigit(b[2*i]), hexDigit(b[2*i+1])
		if hi|lo > 0xf {
			return ids.Generation{}, ids.ErrBadGeneration
		}
		g[i] = hi<<4 | lo
	}
	return g, nil
}

func hexDigit(c byte) byte {
	switch {
	case '0' <= c && c <= '9':
		return c - '0'
	case 'a' <= c && c <= 'f':
		return c - 'a' + 10
	case 'A' <= c && c <= 'F':
		return c - 'A' + 10
	}
	return 0xff
}

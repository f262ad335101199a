package caller

import (
	"bufio"
	"bytes"
	"io"
)

const maxEventLine = 1 << 20 // bytes per line of a stream

// event is one server-sent event.
type event struct {
	id   string
	kind string
	data []byte // valid until the next call of next
}

// eventReader parses an event stream. It shares no code with the parser in entries, so that a defect there is detected.
type eventReader struct {
	sc *bufio.Scanner
}

func newEventReader(r io.Reader) *eventReader {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, 4<<10), maxEventLine)
	return &eventReader{sc: sc}
}

// next returns the next event with data. An event truncated by the end of the stream is discarded.
func (e *eventReader) next() (event, error) {
	var ev event
	for e.sc.Scan() {
		line := e.sc.Bytes()
		if len(line) == 0 {
			if ev.data != nil {
				return ev, nil
			}
			ev = event{}
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			ev.id = string(value)
		case "event":
			ev.kind = string(value)
		case "data":
			ev.data = append(ev.data, value...)
		}
	}
	if err := e.sc.Err(); err != nil {
		return event{}, err
	}
	return event{}, io.ErrUnexpectedEOF
}

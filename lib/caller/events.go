package caller

import (
	"bufio"
	"bytes"
	"io"
)

const maxEvent = 1 << 20 // bytes of one line of a stream

// event is one server-sent event.
type event struct {
	id   string
	kind string
	data []byte // valid until the next call of next
}

// events reads a stream. It is a reader of its own, apart from the one in entries, so that a fault of that one shows.
type events struct {
	sc *bufio.Scanner
}

func newEvents(r io.Reader) *events {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, 4<<10), maxEvent)
	return &events{sc: sc}
}

// next returns the next event that has data. An event that the end of the stream cuts off is not returned.
func (e *events) next() (event, error) {
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

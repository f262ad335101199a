package gateway

import (
	"bytes"
	"errors"
	"strconv"
)

// eventLimit bounds, in bytes, one event of a stream.
const eventLimit = 1 << 20

var errEventTooLong = errors.New("gateway: event too long")

// eventBuffer cuts a byte stream into whole events. Only whole ones are passed on: a target may break off midway, and
// the run that goes on elsewhere starts after the last event that the caller has.
type eventBuffer struct {
	buf []byte
}

// add takes in bytes and returns the whole events among all that came, with their number and the id of the last one.
// The result is valid until the next call.
func (e *eventBuffer) add(p []byte) (whole []byte, n int, lastID string, err error) {
	e.buf = append(e.buf, p...)
	end := 0
	for {
		size := eventEnd(e.buf[end:])
		if size == 0 {
			break
		}
		if id, ok := eventID(e.buf[end : end+size]); ok {
			lastID = id
		}
		end += size
		n++
	}
	if len(e.buf)-end > eventLimit {
		return nil, 0, "", errEventTooLong
	}
	whole = bytes.Clone(e.buf[:end])
	e.buf = append(e.buf[:0], e.buf[end:]...)
	return whole, n, lastID, nil
}

// incomplete reports whether the stream stopped within an event.
func (e *eventBuffer) incomplete() bool { return len(e.buf) > 0 }

// dropSeen leaves out the events up to and with the one named last, and returns how many these are. Ids grow within a
// stream; where they are no numbers nothing is left out.
//
// Failure: a run that had ended whole was taken for one that a move had stopped, and the engine that it went on at
// sent the last event a second time. The caller took it for more of the answer. Whatever a target sends, a caller gets no
// event that it has.
func dropSeen(events []byte, last string) (rest []byte, dropped int) {
	n, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return events, 0
	}
	for len(events) > 0 {
		size := eventEnd(events)
		id, _ := eventID(events[:size])
		k, err := strconv.ParseInt(id, 10, 64)
		if err != nil || k > n {
			break
		}
		events = events[size:]
		dropped++
	}
	return events, dropped
}

// eventEnd returns the size of the first whole event, which an empty line ends; 0 when there is none.
func eventEnd(b []byte) int {
	for i := 0; i < len(b); {
		nl := bytes.IndexByte(b[i:], '\n')
		if nl < 0 {
			return 0
		}
		line := bytes.TrimSuffix(b[i:i+nl], []byte("\r"))
		i += nl + 1
		if len(line) == 0 {
			return i
		}
	}
	return 0
}

// eventID returns the id line of an event.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimPrefix(value, []byte(" "))), true
		}
	}
	return "", false
}

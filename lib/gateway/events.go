package gateway

import (
	"bytes"
	"errors"
	"strconv"
)

// eventLimit bounds the size of one event of a stream, in bytes.
const eventLimit = 1 << 20

var errEventTooLong = errors.New("gateway: event too long")

// eventBuffer splits a byte stream into complete events. Only complete events are forwarded: a target may fail in the middle
// of one, and the resumed run starts after the last event that the caller has.
type eventBuffer struct {
	buf []byte
}

// add appends bytes and returns the events completed so far, their count and the id of the last one.
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

// dropSeen removes the events up to and including the one with id last, and returns how many it removed. Ids increase within
// a stream; if they are not numeric, nothing is removed.
//
// Failure: a run that had completed was taken for one stopped by a move, and the engine that resumed it sent the last event
// again. The caller treated it as more of the answer. Whatever a target sends, a caller receives no event twice.
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

// eventEnd returns the size of the first complete event, which an empty line terminates; 0 when there is none.
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

// eventID returns the value of an event's id line.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimPrefix(value, []byte(" "))), true
		}
	}
	return "", false
}

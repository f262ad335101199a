package gateway

import (
	"bytes"
	"errors"
	"strconv"

	"anvilwick.example/anvilwick/lib/membudget"
)

// eventLimit bounds the size of one event of a stream, in bytes.
const eventLimit = 1 << 20

// keptEventBuffer is the size in bytes of the largest buffer that is kept for the next events.
const keptEventBuffer = 64 << 10

// Errors of events that can't be buffered.
var (
	errEventTooLong  = errors.New("gateway: event too long")
	errEventNoMemory = errors.New("gateway: no memory for an event")
)

// eventBuffer splits a byte stream into complete events. Only complete events are forwarded: a target may fail in the middle
// of one, and the resumed run starts after the last event that the caller has.
type eventBuffer struct {
	memory *membudget.Budget
	buf    []byte
}

// add appends bytes and returns the events completed so far, their count and the id of the last one.
func (e *eventBuffer) add(p []byte) (whole []byte, n int, lastID string, err error) {
	if !e.append(p) {
		return nil, 0, "", errEventNoMemory
	}
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
	e.keep(e.buf[end:])
	return whole, n, lastID, nil
}

// append appends bytes to the buffer, and reports false if the instance has no memory for them.
func (e *eventBuffer) append(p []byte) bool {
	if need := len(e.buf) + len(p); need > cap(e.buf) {
		grown, ok := e.memory.Alloc(int64(max(2*cap(e.buf), need)))
		if !ok {
			return false
		}
		e.buf = append(grown[:0], e.buf...)
	}
	e.buf = append(e.buf, p...)
	return true
}

// keep keeps the rest of the buffer.
func (e *eventBuffer) keep(rest []byte) {
	if cap(e.buf) > keptEventBuffer && len(rest) <= keptEventBuffer/2 {
		e.buf = bytes.Clone(rest)
		return
	}
	e.buf = append(e.buf[:0], rest...)
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

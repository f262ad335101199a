package target

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"anvilwick.example/anvilwick/lib/membudget"
)

// MaxEvent bounds the size of one event of a stream, in bytes.
const MaxEvent = 256 << 10

const (
	sseBuffer = 8 << 10
	// smallEvent is the size in bytes up to which an event's buffer is kept for the next one, and is not worth a request for memory.
	smallEvent = 16 << 10
)

// ErrNoMemory is returned for an event that the process has no memory for.
var ErrNoMemory = errors.New("no memory for a server-sent event")

// ErrEventTooLarge is returned for an event larger than MaxEvent.
var ErrEventTooLarge = errors.New("server-sent event over its bound")

var dataField = []byte("data")

// eventReader splits a body into server-sent events. It reuses one buffer for all of them.
type eventReader struct {
	r      *bufio.Reader
	data   []byte
	memory *membudget.Budget // of large events; nil: there is no limit
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, sseBuffer)}
}

// next returns the data of the next event that has any; it is valid until the next call. Comments and fields other than
// data are ignored. An event truncated by the end of the body is not returned.
func (e *eventReader) next() ([]byte, error) {
	e.data = e.data[:0]
	if cap(e.data) > smallEvent {
		e.data = nil
	}
	lines := 0
	for {
		from := len(e.data)
		if err := e.readLine(); err != nil {
			return nil, err
		}
		line := bytes.TrimRight(e.data[from:], "\r\n")
		if len(line) == 0 {
			e.data = e.data[:from]
			if lines > 0 {
				return e.data, nil
			}
			continue
		}
		value, ok := cutData(line)
		if !ok {
			e.data = e.data[:from]
			continue
		}
		e.data = joinData(e.data[:from], value, lines)
		lines++
	}
}

// joinData appends the value of a further data line. value lies after data in the same buffer.
func joinData(data, value []byte, lines int) []byte {
	if lines == 0 {
		n := copy(data[:len(value)], value)
		return data[:n]
	}
	value = bytes.Clone(value)
	data = append(data, '\n')
	return append(data, value...)
}

func cutData(line []byte) ([]byte, bool) {
	if !bytes.HasPrefix(line, dataField) {
		return nil, false
	}
	rest := line[len(dataField):]
	if len(rest) == 0 {
		return rest, true
	}
	if rest[0] != ':' {
		return nil, false
	}
	return bytes.TrimPrefix(rest[1:], []byte(" ")), true
}

// hasRoom reports whether the process has memory for the growth of the buffer by n bytes.
func (e *eventReader) hasRoom(n int) bool {
	size := len(e.data) + n
	return size <= cap(e.data) || size <= smallEvent || e.memory.Admit(2*int64(size), membudget.Bulk)
}

// readLine appends one line, including its terminator, to e.data. An unterminated last line yields io.ErrUnexpectedEOF.
func (e *eventReader) readLine() error {
	for {
		part, err := e.r.ReadSlice('\n')
		if len(e.data)+len(part) > MaxEvent {
			return ErrEventTooLarge
		}
		if !e.hasRoom(len(part)) {
			return ErrNoMemory
		}
		e.data = append(e.data, part...)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(e.data) > 0:
			return io.ErrUnexpectedEOF
		default:
			return err
		}
	}
}

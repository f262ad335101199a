package membudget

import (
	"errors"
	"io"
)

// Errors of ReadAll.
var (
	ErrNoMemory = errors.New("membudget: no memory for the rest")
	ErrTooLong  = errors.New("membudget: longer than its limit")
)

const (
	// NoLimit stands for data of any length.
	NoLimit = 1 << 62
	// UnknownLength is the expected length of data whose peer states none.
	UnknownLength = -1
)

// firstBuffer is the size in bytes of the first buffer for data of unknown length.
const firstBuffer = 4 << 10

// ReadAll reads r to its end. The memory for the length that the peer states is requested before anything is read; data of
// unknown length gets it as it grows. Data longer than limit bytes gives ErrTooLong, and data that the process has no
// memory for ErrNoMemory; like other errors they come with what was read so far.
func (b *Budget) ReadAll(r io.Reader, expected, limit int64) ([]byte, error) {
	return readAll(b, r, expected, limit)
}

// allocator grants buffers.
type allocator interface {
	Alloc(n int64) (buf []byte, ok bool)
	Grow(n int64) (buf []byte, ok bool)
}

func readAll(from allocator, r io.Reader, expected, limit int64) ([]byte, error) {
	if expected > limit {
		return nil, ErrTooLong
	}
	size := expected
	if expected < 0 {
		size = min(firstBuffer, limit)
	}
	buf, ok := from.Alloc(size + 1) // the last byte shows that the data has ended
	if !ok {
		return nil, ErrNoMemory
	}
	n := 0
	for {
		m, err := r.Read(buf[n:])
		n += m
		switch {
		case int64(n) > limit:
			return buf[:n], ErrTooLong
		case err == io.EOF:
			return buf[:n], nil
		case err != nil:
			return buf[:n], err
		case n < len(buf):
			continue
		}
		grown, ok := from.Grow(min(2*int64(n), limit+1))
		if !ok {
			return buf[:n], ErrNoMemory
		}
		copy(grown, buf)
		buf = grown
	}
}

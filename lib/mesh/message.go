package mesh

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"
)

const (
	// maxHello bounds the first message of a stream in bytes: the name of an instance.
	maxHello = 4 << 10
	// firstPart is the size in bytes of the first buffer for a large message, enough for most. It grows as the message arrives: peers that state sizes and
	// send little must not take memory.
	firstPart = 32 << 10
)

// ErrTooLarge reports a message that exceeds the limit of its stream.
var ErrTooLarge = errors.New("mesh: message too large")

// readMessage reads one message of at most limit bytes, preceded by its size. It returns io.EOF if nothing more follows.
func readMessage(r *bufio.Reader, limit int, m proto.Message) error {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if size > uint64(limit) {
		return fmt.Errorf("%w: %d bytes", ErrTooLarge, size)
	}
	if n := int(size); n <= r.Size() {
		b, err := r.Peek(n)
		if err != nil {
			return unexpected(err)
		}
		if err := proto.Unmarshal(b, m); err != nil {
			return err
		}
		_, err = r.Discard(n)
		return err
	}
	b, err := readParts(r, int(size))
	if err != nil {
		return unexpected(err)
	}
	return proto.Unmarshal(b, m)
}

// readParts reads n bytes.
func readParts(r io.Reader, n int) ([]byte, error) {
	b := make([]byte, min(n, firstPart))
	for read := 0; ; {
		m, err := io.ReadFull(r, b[read:])
		if read += m; err != nil || read == n {
			return b, err
		}
		grown := make([]byte, min(2*len(b), n))
		copy(grown, b)
		b = grown
	}
}

// unexpected returns the error of a message that broke off.
func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

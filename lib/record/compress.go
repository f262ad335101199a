package record

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"
	"sync"
)

// maxRequestBytes bounds a decompressed request; entries accept none that is larger.
const maxRequestBytes = 16 << 20

var errRequestTooLarge = errors.New("record: decompressed request exceeds 16 MiB")

// flateWriters holds writers for reuse: each has tables of some hundred kilobytes.
var flateWriters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // BestSpeed is a valid level
	}
	return w
}}

// compress compresses a request, which is sent to two peers and stored there. Prompts are text and compress well.
func compress(request []byte) []byte {
	var out bytes.Buffer
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	w.Reset(&out)
	_, _ = w.Write(request) // a bytes.Buffer does not fail
	_ = w.Close()
	return out.Bytes()
}

// decompress reverses compress.
func decompress(data []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	out, err := io.ReadAll(io.LimitReader(r, maxRequestBytes+1))
	switch {
	case err != nil:
		return nil, err
	case len(out) > maxRequestBytes:
		return nil, errRequestTooLarge
	}
	return out, nil
}

package record

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"
	"sync"
)

// maxRequest bounds a request that is unpacked; entries accept none that is larger.
const maxRequest = 16 << 20

var errRequestSize = errors.New("record: the request is too large")

// packers holds writers for reuse: each has tables of some hundred kilobytes.
var packers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant that flate knows
	}
	return w
}}

// packed compresses a request. It is sent to two peers and kept there, and prompts are text.
func packed(request []byte) []byte {
	var out bytes.Buffer
	w := packers.Get().(*flate.Writer)
	defer packers.Put(w)
	w.Reset(&out)
	_, _ = w.Write(request) // a Buffer takes all
	_ = w.Close()
	return out.Bytes()
}

// unpacked undoes packed.
func unpacked(data []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	out, err := io.ReadAll(io.LimitReader(r, maxRequest+1))
	switch {
	case err != nil:
		return nil, err
	case len(out) > maxRequest:
		return nil, errRequestSize
	}
	return out, nil
}

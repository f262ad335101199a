package target

import (
	"bytes"
	"io"
	"testing"
)

// FuzzStream checks that reading any input terminates with [DONE] or an error, and that no token frame without a generation
// is accepted.
func FuzzStream(f *testing.F) {
	f.Add([]byte("data: [DONE]\n\n"))
	f.Add([]byte("id: 1\ndata: {\"choices\":[{\"text\":\"a\",\"finish_reason\":null}],\"ext\":{\"generation\":\"00000000000000000000000000000001\",\"attempt\":1,\"index\":0}}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: {\"error\":{\"type\":\"preempted\"},\"ext\":{}}\r\n\r\n: c\ndata\ndata:x\n\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		st := NewStream(io.NopCloser(bytes.NewReader(body)))
		for range len(body) + 2 {
			fr, err := st.Next()
			if err != nil {
				return
			}
			if fr.Err == nil && fr.Generation.IsZero() && !bytes.Contains(body, bytes.Repeat([]byte("0"), 32)) {
				t.Fatalf("frame without a generation: %s", fr.Raw)
			}
		}
		t.Fatal("more events than bytes")
	})
}

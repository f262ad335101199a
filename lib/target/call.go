package target

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"strings"
)

// hopByHopHeaders are the hop-by-hop headers, which must not be forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// CopyEndToEndHeaders copies the headers of src to dst, except for hop-by-hop headers and those named by Connection.
func CopyEndToEndHeaders(dst, src http.Header) {
	skip := make(map[string]bool)
	for _, v := range src.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			skip[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for _, name := range hopByHopHeaders {
		skip[name] = true
	}
	for name, values := range src {
		if !skip[name] {
			dst[name] = append([]string(nil), values...)
		}
	}
}

// Call is one request to a plain service.
type Call struct {
	Method   string
	Path     string // with query, as the caller sent it
	Header   http.Header
	Body     []byte
	NoResend bool // the call must not be repeated: use a fresh connection and no resend by the transport
}

// Do sends the call. The error is ErrNotSent if no byte left this process, else ErrBroken, in which case the target may
// have run the call. Responses of any status are returned, and the caller must close the body.
func (c *Client) Do(ctx context.Context, call *Call) (*http.Response, error) {
	sctx, sent := withSent(ctx)
	req, err := http.NewRequestWithContext(sctx, call.Method, c.base+call.Path, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	CopyEndToEndHeaders(req.Header, call.Header)
	if len(call.Body) > 0 {
		req.Body = newOnceBody(call.Body)
		req.ContentLength = int64(len(call.Body))
	}
	if call.NoResend {
		resp, err := c.clients.singleUse.Do(req)
		if err != nil {
			return nil, classify(err, sent)
		}
		return resp, nil
	}
	resp, err := c.clients.pooled.Do(req.WithContext(traceSent(ctx, sent)))
	if err != nil {
		return nil, classify(err, sent)
	}
	return resp, nil
}

// traceSent sets the flag as soon as the request gets a connection, pooled or new. The transport may try several in turn,
// so the last error alone (such as a refused dial) does not prove that nothing was sent.
func traceSent(ctx context.Context, sent *sentFlag) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.v.Store(true) },
	})
}

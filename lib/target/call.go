package target

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"strings"
)

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// PassHeaders copies the headers that belong to the message, and not to the connection it came by.
func PassHeaders(dst, src http.Header) {
	named := make(map[string]bool)
	for _, v := range src.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for _, name := range hopHeaders {
		named[name] = true
	}
	for name, values := range src {
		if !named[name] {
			dst[name] = append([]string(nil), values...)
		}
	}
}

// Call is one request to a plain service.
type Call struct {
	Method string
	Path   string // with query, as the caller sent it
	Header http.Header
	Body   []byte
	Once   bool // the call may not be repeated: a fresh connection, and no resend by the transport
}

// Do sends the call. The error is ErrNotSent when no byte left this process, else ErrBroken, after which the target may
// have run it. Answers of any status are returned, and the caller closes their body.
func (c *Client) Do(ctx context.Context, call *Call) (*http.Response, error) {
	sctx, sent := withSent(ctx)
	req, err := http.NewRequestWithContext(sctx, call.Method, c.base+call.Path, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	PassHeaders(req.Header, call.Header)
	if len(call.Body) > 0 {
		req.Body = newOnceBody(call.Body)
		req.ContentLength = int64(len(call.Body))
	}
	if call.Once {
		resp, err := c.clients.once.Do(req)
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

// traceSent sets the flag as soon as a connection, kept or fresh, is given to the request. The transport may try several
// in turn, so that the last error alone (a refused dial) does not prove that nothing was sent.
func traceSent(ctx context.Context, sent *sentFlag) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.v.Store(true) },
	})
}

package retry

import (
	"io"
	"net/http"
	"strings"
)

// SingleShot stops net/http from sending req a second time on its own.
//
// Failure: a target reads a POST with an Idempotency-Key header, starts to run it, and its kept-alive connection
// breaks before the first byte of the answer. http.Transport takes that header as leave to replay the request, so a
// call that must not be repeated runs twice, and our own budget never sees it. Transport replays a request with a
// body only when it can get the body again, so a body without GetBody is enough; a request without a body gets an
// empty one.
func SingleShot(req *http.Request) {
	req.GetBody = nil
	if req.Body == nil || req.Body == http.NoBody {
		req.Body = io.NopCloser(strings.NewReader(""))
		req.ContentLength = 0
	}
}

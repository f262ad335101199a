package callerconn

import (
	"context"
	"net"
	"net/http"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// ConnContext is an http.Server's ConnContext hook, which ResetCutHTTP10 needs.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ResetCutHTTP10 makes the connections of HTTP/1.0 callers end with a reset unless the whole response was written.
//
// There are no chunks in HTTP/1.0: where the length of a response is not known before, only the end of the connection ends it, and a response that is cut in the
// middle, also by the end of the process, would look whole.
func ResetCutHTTP10(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(interface{ SetLinger(sec int) error })
		if !ok || r.ProtoAtLeast(1, 1) {
			next.ServeHTTP(w, r)
			return
		}
		_ = c.SetLinger(0) // fails only on a connection that is closed already
		next.ServeHTTP(w, r)
		if http.NewResponseController(w).Flush() == nil {
			_ = c.SetLinger(-1)
		}
	})
}

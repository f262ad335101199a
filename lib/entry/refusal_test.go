package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/callerapi"
	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/result"
)

// Each refusal must come at once, with its code, status and outcome, and nothing may reach a target.
func TestRefusals(t *testing.T) {
	r := newRig(t, siteText("  max_body: 1KiB\n", true, nil, nil), nil)
	for _, tc := range []struct {
		name   string
		path   string
		header map[string]string
		body   string
		want   result.Code
	}{
		{"no key", "/dispatch", map[string]string{"Authorization": ""}, "", result.Unauthenticated},
		{"unknown key", "/dispatch", map[string]string{"Authorization": "Bearer nobody"}, "", result.Unauthenticated},
		{"class", "/dispatch", map[string]string{callerapi.HeaderClass: "urgent"}, "", result.Forbidden},
		{"route", "/ledger", nil, "", result.NoRoute},
		{"model", engineapi.PathCompletions, nil, `{"model":"other","prompt":"x"}`, result.NoRoute},
		{"deadline", "/dispatch", map[string]string{callerapi.HeaderDeadline: "soon"}, "", result.BadHeader},
		{"event id", engineapi.PathCompletions, map[string]string{callerapi.HeaderLastEvent: "7"}, `{}`, result.BadHeader},
		{"json", engineapi.PathCompletions, nil, `{"model":`, result.BadRequest},
		{"large plain", "/dispatch", nil, strings.Repeat("x", 1025), result.BodyTooLarge},
		{"large prompt", engineapi.PathCompletions, nil, `{"model":"planner-llm","prompt":"` + strings.Repeat("x", 1024) + `"}`, result.BodyTooLarge},
		{"several answers", engineapi.PathCompletions, nil, `{"model":"planner-llm","prompt":"x","n":2}`, result.BadRequest},
	} {
		t.Run(tc.name, func(t *testing.T) {
			req, err := http.NewRequest(http.MethodPost, r.http.URL+tc.path, strings.NewReader(tc.body))
			must.NoError(t, err)
			req.Header.Set("Authorization", "Bearer "+testKey)
			for k, v := range tc.header {
				req.Header.Set(k, v)
			}
			resp, err := http.DefaultClient.Do(req)
			must.NoError(t, err)
			defer resp.Body.Close()
			must.Eq(t, result.Lookup(tc.want).HTTP, resp.StatusCode)
			e := readError(t, resp)
			must.Eq(t, tc.want, e.Code)
			must.Eq(t, result.NotRun.String(), e.Outcome)
		})
	}
}

// During a planned shutdown, new requests must be refused as not run, with a Retry-After, and the answer in progress must
// complete before Stop returns.
func TestStopWaitsForRequests(t *testing.T) {
	e := startEngine(t, nil)
	r := newRig(t, siteText("", true, []string{e.Addr()}, nil), nil)
	const prompt = "stop [len=100]"
	resp := r.send(context.Background(), callerRequest{prompt: prompt, stream: true})
	stopResult := make(chan error, 1)
	var st transcript
	st.read(t, eventsOf(resp), func(n int) {
		if n == 90 {
			must.Eq(t, 0, len(stopResult), must.Sprint("Stop returned while an answer was in progress"))
		}
		if n != 10 {
			return
		}
		go func() { stopResult <- r.server.Stop(context.Background()) }()
		eventually(t, "stopping", r.server.Stopping)
		late := r.send(context.Background(), callerRequest{prompt: "late", stream: true})
		must.Eq(t, http.StatusServiceUnavailable, late.StatusCode)
		must.NotEq(t, "", late.Header.Get("Retry-After"))
		must.Eq(t, result.Stopping, readError(t, late).Code)
	})
	st.checkComplete(t, prompt, 100)
	must.NoError(t, <-stopResult)
}

// The deadline passes while the answer is in progress: the stream must end with an error that says that it was run.
func TestDeadlineWhileRunning(t *testing.T) {
	e := startEngine(t, nil)
	r := newRig(t, siteText("", true, []string{e.Addr()}, nil), nil)
	var st transcript
	st.read(t, eventsOf(r.send(context.Background(), callerRequest{prompt: "slow [len=5000]", stream: true, deadlineMS: "150"})), nil)
	must.NotNil(t, st.err)
	must.Eq(t, result.DeadlinePassed, st.err.Code)
	must.Positive(t, st.tokens)
}

// The bound on concurrent requests is exceeded: the extra request must be refused at once, and the others are not affected.
func TestTooManyStreams(t *testing.T) {
	e := startEngine(t, nil)
	r := newRig(t, siteText("", true, []string{e.Addr()}, nil), func(o *Options) { o.MaxStreams = 1 })
	const prompt = "one [len=50]"
	first := r.send(context.Background(), callerRequest{prompt: prompt, stream: true})
	start := time.Now()
	second := r.send(context.Background(), callerRequest{prompt: "two", stream: true})
	must.Eq(t, result.TooManyStreams, readError(t, second).Code)
	must.Less(t, time.Second, time.Since(start))
	var st transcript
	st.read(t, eventsOf(first), nil)
	st.checkComplete(t, prompt, 50)
}

// A caller reads nothing. The kernel's send buffer must be bounded, since the bound on the sink does not cover it.
func TestKernelBufferBounded(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	must.NoError(t, err)
	defer client.Close()
	conn, err := ln.Accept()
	must.NoError(t, err)
	defer conn.Close()
	boundConn(context.Background(), conn)
	must.NoError(t, conn.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
	n, err := io.CopyN(conn, endlessZeros{}, 64<<20)
	must.ErrorIs(t, err, os.ErrDeadlineExceeded)
	must.Less(t, 8<<20, n)
	raw, err := conn.(*net.TCPConn).SyscallConn()
	must.NoError(t, err)
	must.NoError(t, raw.Control(func(fd uintptr) {
		size, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF)
		must.NoError(t, err)
		must.Eq(t, 2*connWriteBuffer, size, must.Sprint("the kernel doubles the requested size"))
	}))
}

type endlessZeros struct{}

func (endlessZeros) Read(p []byte) (int, error) { return len(p), nil }

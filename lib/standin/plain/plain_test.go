package plain

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/engineapi"
)

func startServer(t *testing.T) *Server {
	s, err := Start(Config{Addr: "127.0.0.1:0", Name: "dispatch", Capacity: 2, Die: func() {}})
	must.NoError(t, err)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Close(ctx)
	})
	return s
}

// call sends a POST with an id on a new connection.
func call(s *Server, id string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+s.Addr()+"/crews", strings.NewReader("send one"))
	if err != nil {
		return nil, err
	}
	req.Header.Set(HeaderCallID, id)
	req.Close = true
	return http.DefaultClient.Do(req)
}

func TestCallsAreCountedByID(t *testing.T) {
	s := startServer(t)
	for range 2 {
		resp, err := call(s, "a")
		must.NoError(t, err)
		resp.Body.Close()
	}
	resp, err := call(s, "b")
	must.NoError(t, err)
	defer resp.Body.Close()
	var ans Answer
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&ans))
	must.Eq(t, Answer{Service: "dispatch", ID: "b", Executions: 1, Method: "POST", Path: "/crews", Body: "send one"}, ans)
	must.Eq(t, map[string]int{"a": 2, "b": 1}, s.Executions())
}

// The caller sees the connection close without an answer in both cases; only the count tells them apart. The call was not
// executed when cut before and was executed when cut after: a router that resends the latter runs it twice.
func TestCutBeforeAndAfterExecution(t *testing.T) {
	s := startServer(t)
	must.True(t, s.SetFault(Fault{Kind: FaultCutBefore}))
	_, err := call(s, "before")
	must.Error(t, err)
	must.True(t, s.SetFault(Fault{Kind: FaultCutAfter}))
	_, err = call(s, "after")
	must.Error(t, err)
	must.Eq(t, map[string]int{"after": 1}, s.Executions())
}

func TestCutBodyGivesUnexpectedEOF(t *testing.T) {
	s := startServer(t)
	must.True(t, s.SetFault(Fault{Kind: FaultCutBody}))
	resp, err := call(s, "half")
	must.NoError(t, err)
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// Guards against broken answers that are sound, and against calls that they do not count: who sends such a call again must be found out.
func TestBrokenAnswersAreSentAndCounted(t *testing.T) {
	s := startServer(t)
	for _, kind := range []string{FaultPartReset, FaultBadStatus, FaultBadField} {
		must.True(t, s.SetFault(Fault{Kind: kind}))
		conn, err := net.Dial("tcp", s.Addr())
		must.NoError(t, err)
		_, err = fmt.Fprintf(conn, "POST /%s HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc", kind)
		must.NoError(t, err)
		got, err := io.ReadAll(conn)
		must.StrHasPrefix(t, strings.SplitAfter(brokenAnswers[kind].Text, "\r\n")[0], string(got))
		must.Eq(t, kind == FaultPartReset, err != nil, must.Sprint(kind))
		must.Eq(t, 1, s.Executions()["/"+kind])
	}
	_, err := call(s, "sound")
	must.NoError(t, err)
}

func TestLoadReportsLeaving(t *testing.T) {
	s := startServer(t)
	must.True(t, s.SetFault(Fault{Kind: FaultLeave}))
	resp, err := http.Get("http://" + s.Addr() + engineapi.PathServiceLoad)
	must.NoError(t, err)
	defer resp.Body.Close()
	var rep engineapi.ServiceLoad
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&rep))
	must.True(t, rep.Leaving)
	must.Eq(t, 2, rep.Capacity)
}

package opsapi

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const token = "operator-token"

func source() Source {
	return Source{
		Status:  func() Status { return Status{Instance: "i1", SettingsRevision: 4} },
		Targets: func() []Target { return []Target{{Name: "t1", State: TargetLive}} },
		Drain: func(_ context.Context, r DrainRequest) (DrainReply, error) {
			if r.Target == "t9" {
				return DrainReply{}, errors.New("no such target")
			}
			return DrainReply{Applied: true}, nil
		},
	}
}

func serve(t *testing.T, src Source) string {
	t.Helper()
	srv := httptest.NewServer(Handler([]Hash{HashToken("another"), HashToken(token)}, src))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

func status(t *testing.T, method, url, auth, body string) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	must.NoError(t, err)
	req.Header.Set("Authorization", auth)
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func TestClientReadsSource(t *testing.T) {
	c := NewClient(serve(t, source()), token)
	st, err := c.Status(t.Context())
	must.NoError(t, err)
	must.Eq(t, 4, st.SettingsRevision)
	ts, err := c.Targets(t.Context())
	must.NoError(t, err)
	must.Eq(t, "t1", ts[0].Name)
	rep, err := c.Drain(t.Context(), DrainRequest{Target: "t1", On: true, Operator: "ann"})
	must.NoError(t, err)
	must.True(t, rep.Applied)
	_, err = c.Drain(t.Context(), DrainRequest{Target: "t9", On: true, Operator: "ann"})
	must.ErrorContains(t, err, "no such target")
	_, err = c.Queues(t.Context())
	must.ErrorContains(t, err, "404")
}

func TestEveryOperatorPathNeedsAToken(t *testing.T) {
	base := "http://" + serve(t, source())
	for _, path := range []string{PathStatus, PathTargets, PathQueues, PathDrain, "/ops/other"} {
		for _, auth := range []string{"", "Bearer ", "Bearer wrong", "Basic " + token, token} {
			must.Eq(t, http.StatusUnauthorized, status(t, http.MethodGet, base+path, auth, ""), must.Sprint(path, auth))
		}
	}
	must.Eq(t, http.StatusOK, status(t, http.MethodGet, base+PathHealth, "", ""))
	must.Eq(t, http.StatusOK, status(t, http.MethodGet, base+PathMetrics, "", ""))
}

func TestNoHashesAllowNobody(t *testing.T) {
	must.False(t, allowed(nil, "Bearer x"))
}

func TestReadinessFails(t *testing.T) {
	src := source()
	src.Ready = func() error { return errors.New("no settings yet") }
	must.Eq(t, http.StatusServiceUnavailable, status(t, http.MethodGet, "http://"+serve(t, src)+PathReady, "", ""))
}

func TestDrainRejectsMalformedBody(t *testing.T) {
	url := "http://" + serve(t, source()) + PathDrain
	for _, body := range []string{"", "{", `{"target":"t1"}`, `{"target":"t1","operator":"a","x":1}`,
		`{"operator":"` + strings.Repeat("a", maxBody) + `"}`} {
		must.Eq(t, http.StatusBadRequest, status(t, http.MethodPost, url, "Bearer "+token, body), must.Sprint(body[:min(len(body), 40)]))
	}
}

func TestParseHash(t *testing.T) {
	_, err := ParseHash("12")
	must.ErrorIs(t, err, ErrBadHash)
	h, err := ParseHash(strings.Repeat("ab", 32))
	must.NoError(t, err)
	must.Eq(t, byte(0xab), h[31])
}

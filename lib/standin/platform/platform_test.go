package platform

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/platformapi"
)

func call(t *testing.T, s *Server, method, path, body string, into any) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://127.0.0.1"+path, strings.NewReader(body))
	must.NoError(t, err)
	res, err := s.Transport().RoundTrip(req)
	must.NoError(t, err)
	if into != nil {
		must.NoError(t, json.NewDecoder(res.Body).Decode(into))
	}
	return res.StatusCode
}

func TestRepeatedOperationIDWritesOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{})
		var first, again platformapi.TxnResult
		body := `{"op_id":"a","conds":[{"key":"k"}],"puts":[{"key":"k","value":"AQ=="}]}`
		must.Eq(t, 200, call(t, s, "POST", platformapi.PathTxn, body, &first))
		must.Eq(t, 200, call(t, s, "POST", platformapi.PathTxn, body, &again))
		must.True(t, first.Committed)
		must.Eq(t, first, again)
		must.Eq(t, 404, call(t, s, "GET", platformapi.PathOp+"b", "", nil))
		must.Eq(t, 200, call(t, s, "GET", platformapi.PathOp+"a", "", &again))
	})
}

func TestStaleReadsReturnOlderState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{})
		call(t, s, "POST", platformapi.PathTxn, `{"op_id":"a","puts":[{"key":"k","value":"AQ=="}]}`, nil)
		time.Sleep(10 * time.Second)
		call(t, s, "POST", platformapi.PathTxn, `{"op_id":"b","puts":[{"key":"k","value":"Ag=="}]}`, nil)
		must.Eq(t, 204, call(t, s, "POST", FaultPath, `{"kind":"stale_reads","delay_ms":5000}`, nil))
		var it platformapi.Item
		call(t, s, "GET", platformapi.PathGet+"?key=k", "", &it)
		must.Eq(t, platformapi.Item{Key: "k", Value: []byte{1}, Rev: 1}, it)
		var r platformapi.RangeResult
		call(t, s, "GET", platformapi.PathRange+"?prefix=k&after_rev=1", "", &r)
		must.Eq(t, 1, r.Rev)
		must.Len(t, 0, r.Items)
	})
}

func TestInstanceListLagsAndFaultExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{ListLag: 3 * time.Second})
		must.Eq(t, 204, call(t, s, "PUT", InstancesPath+"i1", `{"incarnation":1,"state":"live"}`, nil))
		var l platformapi.InstanceList
		call(t, s, "GET", platformapi.PathInstances, "", &l)
		must.Len(t, 0, l.Instances)
		time.Sleep(3 * time.Second)
		call(t, s, "GET", platformapi.PathInstances, "", &l)
		must.Eq(t, "i1", l.Instances[0].ID)
		must.Eq(t, 204, call(t, s, "POST", FaultPath, `{"kind":"outage","duration_ms":1000}`, nil))
		must.Eq(t, 503, call(t, s, "GET", platformapi.PathInstances, "", nil))
		time.Sleep(time.Second)
		must.Eq(t, 200, call(t, s, "GET", platformapi.PathInstances, "", nil))
		must.Eq(t, 400, call(t, s, "POST", FaultPath, `{"kind":"no such"}`, nil))
	})
}

func TestRateLimitedRequestsHaveNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{WritesPerSec: 10, WeightsPerSec: 0.5})
		must.Eq(t, 200, call(t, s, "POST", platformapi.PathTxn, `{"op_id":"a"}`, nil))
		must.Eq(t, 429, call(t, s, "POST", platformapi.PathTxn, `{"op_id":"b"}`, nil))
		must.Eq(t, 404, call(t, s, "GET", platformapi.PathOp+"b", "", nil))
		must.Eq(t, 200, call(t, s, "GET", platformapi.PathWeights+"m/v1", "", nil))
		must.Eq(t, 429, call(t, s, "GET", platformapi.PathWeights+"m/v1", "", nil))
		time.Sleep(2 * time.Second)
		must.Eq(t, 200, call(t, s, "GET", platformapi.PathWeights+"m/v1", "", nil))
	})
}

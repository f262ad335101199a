package callerapi

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/result"
)

func headers(pairs ...string) http.Header {
	h := http.Header{"Authorization": {"Bearer secret"}}
	for i := 0; i < len(pairs); i += 2 {
		h.Add(pairs[i], pairs[i+1])
	}
	return h
}

func TestParseHeaders(t *testing.T) {
	id := string(AppendEvent(nil, ids.From(1, 2).String(), 7, 0xbeef, nil))
	id = strings.TrimPrefix(strings.SplitN(id, "\n", 2)[0], "id: ")
	got, err := ParseHeaders(headers(HeaderKey, "k", HeaderClass, "urgent", HeaderDeadline, "1500", HeaderLastEvent, id))
	must.Nil(t, err)
	must.Eq(t, Headers{
		Token:     "secret",
		Key:       "k",
		Class:     "urgent",
		Deadline:  1500 * time.Millisecond,
		LastEvent: &EventID{Generation: ids.From(1, 2), Index: 7, Digest: 0xbeef},
	}, got)
}

func TestParseHeadersRejectsInvalidValues(t *testing.T) {
	for name, tc := range map[string]struct {
		h    http.Header
		want result.Code
	}{
		"no token":      {http.Header{}, result.Unauthenticated},
		"basic":         {http.Header{"Authorization": {"Basic x"}}, result.Unauthenticated},
		"long token":    {http.Header{"Authorization": {"Bearer " + strings.Repeat("x", 513)}}, result.Unauthenticated},
		"two keys":      {headers(HeaderKey, "a", HeaderKey, "b"), result.BadHeader},
		"empty key":     {headers(HeaderKey, ""), result.BadHeader},
		"long key":      {headers(HeaderKey, strings.Repeat("k", 201)), result.BadHeader},
		"line in key":   {headers(HeaderKey, "a\nb"), result.BadHeader},
		"class":         {headers(HeaderClass, "ur gent"), result.BadHeader},
		"no number":     {headers(HeaderDeadline, "1s"), result.BadHeader},
		"negative":      {headers(HeaderDeadline, "-1"), result.BadHeader},
		"overflow":      {headers(HeaderDeadline, "99999999999999"), result.BadHeader},
		"event":         {headers(HeaderLastEvent, "12"), result.BadHeader},
		"event index":   {headers(HeaderLastEvent, ids.From(1, 1).String()+"-x-0"), result.BadHeader},
		"event too big": {headers(HeaderLastEvent, ids.From(1, 1).String()+"-4294967295-0"), result.BadHeader},
	} {
		_, err := ParseHeaders(tc.h)
		must.NotNil(t, err, must.Sprint(name))
		must.Eq(t, tc.want, err.Code, must.Sprint(name))
	}
}

// Engines must receive every field that the caller sent except those that the system sets, and callers must not be able to
// set the system's fields.
func TestTemplatePreservesCallerFields(t *testing.T) {
	c, err := ParseCompletion([]byte(`{"model":"m","messages":[{"role":"user","content":"hi"}],"stream":false,
		"temperature":0.5,"logit_bias":{"5":1},"max_completion_tokens":90,"ext":{"generation":"forged"}}`), true)
	must.Nil(t, err)
	c.LimitMaxTokens(50)
	body, merr := c.Template().WithExt(&engineapi.Ext{Generation: "g", Attempt: 3, StartIndex: 2, Resume: []string{"a", "\u2028\""}})
	must.NoError(t, merr)
	var got map[string]any
	must.NoError(t, json.Unmarshal(body, &got))
	must.Eq(t, 0.5, got["temperature"])
	must.Eq(t, any(map[string]any{"5": 1.0}), got["logit_bias"])
	must.Eq(t, true, got["stream"])
	must.Eq(t, 50.0, got["max_tokens"])
	must.MapNotContainsKey(t, got, "max_completion_tokens")
	want := map[string]any{"generation": "g", "attempt": 3.0, "start_index": 2.0, "priority": 0.0, "resume": []any{"a", "\u2028\""}}
	must.Eq(t, any(want), got["ext"])
}

// A case-insensitive JSON parser would merge the caller's "EXT" into the extension object, with tokens of the caller's choice.
func TestCaseVariantsOfSystemFieldsAreRejected(t *testing.T) {
	for _, field := range []string{"EXT", "Stream", "Max_Tokens", "Model"} {
		_, err := ParseCompletion([]byte(`{"model":"m","prompt":"x","`+field+`":{"resume":["forged"]}}`), false)
		must.NotNil(t, err, must.Sprint(field))
		must.Eq(t, result.BadRequest, err.Code)
	}
}

func TestFingerprintDependsOnlyOnModelAndContent(t *testing.T) {
	parse := func(body string) uint64 {
		c, err := ParseCompletion([]byte(body), false)
		must.Nil(t, err)
		return c.Fingerprint()
	}
	a := parse(`{"model":"m","prompt":"x","user":"1"}`)
	must.Eq(t, a, parse(`{"user":"2","prompt":"x","model":"m","stream":true}`))
	must.NotEq(t, a, parse(`{"model":"m","prompt":"y"}`))
	must.NotEq(t, a, parse(`{"model":"n","prompt":"x"}`))
}

func TestErrorBody(t *testing.T) {
	w := httptest.NewRecorder()
	err := result.New(result.QueueFull, "class %q", "urgent")
	err.RetryAfter = 1200 * time.Millisecond
	WriteError(w, err, "req-1")
	must.Eq(t, http.StatusServiceUnavailable, w.Code)
	must.Eq(t, "2", w.Header().Get("Retry-After"))
	must.Eq(t, "3001", w.Header().Get(HeaderCode))
	var body ErrorBody
	must.NoError(t, json.Unmarshal(w.Body.Bytes(), &body))
	must.Eq(t, ErrorDetail{
		Code:         result.QueueFull,
		Type:         "queue_full",
		Message:      `the queue is at its bound (class "urgent")`,
		Outcome:      "refused, not run",
		RetryAdvice:  "after Retry-After",
		RetryAfterMS: 1200,
		RequestID:    "req-1",
	}, body.Error)
}

// Every retryable error must carry a Retry-After, even when the code that raised it gave none.
func TestRetryableErrorsCarryRetryAfter(t *testing.T) {
	for _, in := range result.Table {
		if in.RetryAdvice != result.RetryLater {
			continue
		}
		w := httptest.NewRecorder()
		WriteError(w, result.New(in.Code, "x"), "r")
		must.NotEq(t, "", w.Header().Get("Retry-After"), must.Sprint(in.Name))
	}
}

func TestResponseBuilderFrames(t *testing.T) {
	s := ResponseBuilder{Generation: ids.From(1, 1), Model: "m", Chat: true}
	var f engineapi.Frame
	must.NoError(t, json.Unmarshal(s.Token(4, []byte("a\"b")), &f))
	must.Eq(t, `a"b`, f.Choices[0].Delta.Content)
	must.Eq(t, 4, f.Ext.Index)
	must.Nil(t, f.Choices[0].FinishReason)
	must.NoError(t, json.Unmarshal(s.Finish(5, "stop"), &f))
	must.Eq(t, "stop", *f.Choices[0].FinishReason)
}

package callerapi

import (
	"encoding/json"
	"net/http"
	"testing"

	"anvilwick.example/anvilwick/lib/engineapi"
)

// FuzzParseCompletion checks that for any caller input the engine body is one JSON object with the system's own extension object.
func FuzzParseCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"x"}`), false)
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"stream":true,"max_tokens":3}`), true)
	f.Add([]byte(`{"model":"m","prompt":"x","ext":{"attempt":9},"\u0065xt":1,"n":1}`), false)
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		c, err := ParseCompletion(body, chat)
		if err != nil {
			return
		}
		c.LimitMaxTokens(10)
		out, merr := c.Template().WithExt(&engineapi.Ext{Generation: "g", Attempt: 1})
		if merr != nil {
			t.Fatal(merr)
		}
		var req engineapi.Request
		if uerr := json.Unmarshal(out, &struct {
			Ext *engineapi.Ext `json:"ext"`
		}{req.Ext}); uerr != nil {
			t.Fatalf("%v: %s", uerr, out)
		}
		var fields map[string]json.RawMessage
		if json.Unmarshal(out, &fields) != nil || string(fields[fieldStream]) != "true" {
			t.Fatalf("not streamed: %s", out)
		}
		var ext engineapi.Ext
		if json.Unmarshal(fields[fieldExt], &ext) != nil || ext.Generation != "g" || ext.Attempt != 1 {
			t.Fatalf("extension object was not set by the system: %s", out)
		}
	})
}

// FuzzParseHeaders checks that invalid values are always rejected.
func FuzzParseHeaders(f *testing.F) {
	f.Add("Bearer t", "key", "urgent", "100", "")
	f.Add("bearer  t", "", "", "-1", "00000000000000010000000000000001-3-ff")
	f.Fuzz(func(t *testing.T, auth, key, class, deadline, last string) {
		h := http.Header{}
		h.Set("Authorization", auth)
		h.Set(HeaderClass, class)
		h.Set(HeaderDeadline, deadline)
		h.Set(HeaderLastEvent, last)
		if key != "" {
			h.Set(HeaderKey, key)
		}
		got, err := ParseHeaders(h)
		if err != nil {
			return
		}
		if got.Token == "" || got.Key != key || len(got.Key) > MaxKey || got.Deadline < 0 || got.Deadline > MaxDeadline {
			t.Fatalf("%+v", got)
		}
	})
}

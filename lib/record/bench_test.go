package record

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"anvilwick.example/anvilwick/lib/entry"
	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/member"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
	"google.golang.org/protobuf/proto"
)

// BenchmarkTraffic measures the bytes sent to one peer for a stream of 500 tokens with a request of 6 KB, put once per
// second at 20 tokens per second: bytes per token in total, for the request and for the tokens' text. Link framing is not
// included.
func BenchmarkTraffic(b *testing.B) {
	const tokens, each = 500, 20
	words := rand.New(rand.NewPCG(1, 2))
	var prompt strings.Builder
	for prompt.Len() < 6000 {
		fmt.Fprintf(&prompt, "%s ", vocabulary[words.IntN(len(vocabulary))])
	}
	r := &Replicator{opts: Options{Self: mesh.Identity{Instance: "entry-govan-1", Incarnation: 1 << 60}}}
	p := &sender{r: r, to: member.Member{Instance: "entry-govan-2"}, acked: map[key]int{}}
	id := keyOf("glasgow-planning", "extraction-1")
	var all, request, text int
	for range b.N {
		all, request, text = 0, 0, 0
		clear(p.acked)
		st := newStore(DefaultMaxBytes, DefaultRetention)
		var rec *meshpb.Record
		for from := 0; from < tokens; from += each {
			inc0 := toProto(benchRecord(prompt.String(), from, each), id, from, r.opts.Self)
			inc0.Request = compress(inc0.Request)
			rec = merge(rec, inc0)
			inc := p.increment(id, rec)
			all += proto.Size(&meshpb.RecordRequest{Msg: &meshpb.RecordRequest_Put{Put: inc}})
			request += len(inc.GetRequest())
			for _, tok := range inc.GetTokens() {
				text += len(tok)
			}
			p.acked[id] = int(st.put(time.Now(), inc).GetHave())
		}
	}
	b.ReportMetric(float64(all)/tokens, "B/token")
	b.ReportMetric(float64(request)/tokens, "request-B/token")
	b.ReportMetric(float64(text)/tokens, "text-B/token")
}

var vocabulary = strings.Fields(`the a of and to in is was for that with on as at by from road bridge close crew night lane
traffic signal survey lorry depot north south east west harbour station report council permit contractor water gas cable
works begin end until after before between closed open diversion notice resident bus route school hospital access keep
clear width metre weight limit surface drain kerb footway cycle barrier sign plan approve refuse defer cost budget week`)

func benchRecord(prompt string, from, n int) *entry.Record {
	r := &entry.Record{
		Generation: ids.From(1, 2),
		Subject:    entry.Subject{Service: "planner-llm", Workspace: "glasgow-planning", Class: "standard", Fingerprint: 1 << 60},
		Attempt:    1,
		Target:     "planner-engine-1",
		Path:       "/v1/completions",
		Request:    []byte(`{"model":"planner-llm","stream":true,"prompt":"` + prompt + `"}`),
	}
	for i := range n {
		r.Tokens = append(r.Tokens, fmt.Sprint(" word", (from+i)%97))
	}
	return r
}

// BenchmarkCompress measures the one-time cost of compressing a keyed request of 6 KB.
func BenchmarkCompress(b *testing.B) {
	request := []byte(strings.Repeat(strings.Join(vocabulary, " "), 10))
	b.SetBytes(int64(len(request)))
	for range b.N {
		compress(request)
	}
}

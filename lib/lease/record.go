package lease

import (
	"encoding/json"
	"time"

	"github.com/joomcode/errorx"

	"anvilwick.example/anvilwick/lib/platformapi"
)

// record is the value at lease/{name}. Each renewal writes it, so that its revision moves while its holder lives.
type record struct {
	Holder   string `json:"holder"`
	Nonce    string `json:"nonce"` // drawn at each campaign: tells a holder from its own earlier life
	TTLMS    int64  `json:"ttl_ms"`
	Fence    uint64 `json:"fence,omitempty"` // 0 in the first write, whose own revision is the number
	Released bool   `json:"released,omitempty"`
	Era      uint64 `json:"era,omitempty"` // of the table, as its holder knew it; 0: the first
}

// outlived reports whether an item was written before the table came back from a copy: what came after it may be lost.
func (r record) outlived(it platformapi.Item) bool {
	return max(platformapi.FirstEra, r.Era) < platformapi.EraOf(it.Rev)
}

func (r record) ttl() time.Duration { return time.Duration(r.TTLMS) * time.Millisecond }

func key(name string) string { return platformapi.KeyLease + name }

// fenceKey changes only when the lease changes hands: its revision is the fencing number.
func fenceKey(name string) string { return key(name) + "/fence" }

func encode(r record) []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(errorx.Decorate(err, "a lease record is always encodable"))
	}
	return b
}

// decode reads an item; one that can't be read counts as held by an unknown holder, and is waited out.
func decode(it platformapi.Item) record {
	var r record
	if err := json.Unmarshal(it.Value, &r); err != nil {
		return record{Holder: "unreadable"}
	}
	return r
}

// Status is what a lease looks like from outside.
type Status struct {
	Holder string
	Fence  uint64
	Free   bool // never held, or released
}

// statusOf reads an item of the table.
func statusOf(it platformapi.Item, found bool) Status {
	if !found {
		return Status{Free: true}
	}
	r := decode(it)
	if r.Fence == 0 {
		r.Fence = it.Rev
	}
	return Status{Holder: r.Holder, Fence: r.Fence, Free: r.Released}
}

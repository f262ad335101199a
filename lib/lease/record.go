package lease

import (
	"encoding/json"
	"time"

	"github.com/joomcode/errorx"

	"anvilwick.example/anvilwick/lib/platformapi"
)

// leaseRecord is the value at lease/{name}. Each renewal writes it, so its revision changes as long as the holder is alive.
type leaseRecord struct {
	Holder   string `json:"holder"`
	Nonce    string `json:"nonce"` // unique per campaign: distinguishes a holder from its own earlier terms
	TTLMS    int64  `json:"ttl_ms"`
	Fence    uint64 `json:"fence,omitempty"` // 0 in the first write, whose own revision is the fencing number
	Released bool   `json:"released,omitempty"`
	Era      uint64 `json:"era,omitempty"` // era of the table known to the holder; 0: the first
}

// predatesEra reports whether an item was written before the table was restored from a backup: later writes may be lost.
func (r leaseRecord) predatesEra(it platformapi.Item) bool {
	return max(platformapi.FirstEra, r.Era) < platformapi.EraOf(it.Rev)
}

func (r leaseRecord) ttl() time.Duration { return time.Duration(r.TTLMS) * time.Millisecond }

func key(name string) string { return platformapi.KeyLease + name }

// fenceKey is the key of an item that changes only when the lease changes hands: its revision is the fencing number.
func fenceKey(name string) string { return key(name) + "/fence" }

func encode(r leaseRecord) []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(errorx.Decorate(err, "lease: cannot encode record"))
	}
	return b
}

// decode parses an item. One that cannot be parsed counts as held by an unknown holder, for the whole TTL.
func decode(it platformapi.Item) leaseRecord {
	var r leaseRecord
	if err := json.Unmarshal(it.Value, &r); err != nil {
		return leaseRecord{Holder: "unreadable"}
	}
	return r
}

// Status is the state of a lease as seen by other processes.
type Status struct {
	Holder string
	Fence  uint64
	Free   bool // never held, or released
}

// statusOf returns the state that an item of the table describes.
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

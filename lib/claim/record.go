package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/url"
	"time"

	"github.com/joomcode/errorx"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/platformapi"
	"anvilwick.example/anvilwick/lib/result"
)

// State is the progress of a claim.
type State string

// The states. Started and Sent are recorded before their step: Started means that nothing was sent, and that nothing will be sent
// before the record says Sent.
const (
	Started  State = "started"
	Sent     State = "sent"
	Finished State = "finished"
	Released State = "released" // proven not to have run
)

// order returns the position of the state in a claim's life cycle. Finished and Released both end it.
func (s State) order() int {
	switch s {
	case Started:
		return 0
	case Sent:
		return 1
	}
	return 2
}

// Holder is a process that runs claims. Incarnation must differ between restarts of the process.
type Holder struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
}

// Summary is the outcome of a finished claim, returned again when the same request is resent.
type Summary struct {
	Code        result.Code `json:"code"`
	Status      int         `json:"status"` // HTTP status of the answer
	ContentType string      `json:"content_type,omitempty"`
	Body        []byte      `json:"body,omitempty"`
	Kept        bool        `json:"kept"` // Body is the whole answer; false: it was too large to keep
}

// record is the value at claim/{workspace}/{hash of the key}.
type record struct {
	State       State    `json:"state"`
	ID          string   `json:"id"`    // drawn by Begin: distinguishes this claim from another's
	Write       string   `json:"write"` // unique per write
	Fingerprint string   `json:"fingerprint"`
	Holder      Holder   `json:"holder"`
	Generation  string   `json:"generation"`
	Target      string   `json:"target,omitempty"`
	Attempt     uint32   `json:"attempt,omitempty"` // last attempt that may have been sent
	Resumed     bool     `json:"resumed,omitempty"` // taken over: parts ran before Attempt, which a proof about Attempt does not cover
	Summary     *Summary `json:"summary,omitempty"`
	UnixSec     int64    `json:"unix_sec"` // time of this write, on the holder's clock
}

// Fingerprint identifies a request's content. Two contents must never have the same one: the second would get the first's result.
func Fingerprint(method, path string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(method + "\n" + path + "\n")) // neither contains a newline
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// tableKey hashes the caller's key, which may be long and contain any character.
func tableKey(workspace, key string) string {
	sum := sha256.Sum256([]byte(key))
	return platformapi.KeyClaim + url.PathEscape(workspace) + "/" + hex.EncodeToString(sum[:])
}

func (r record) encode() []byte {
	r.Write = ids.New().String()
	r.UnixSec = time.Now().Unix()
	b, err := json.Marshal(r)
	if err != nil {
		panic(errorx.Decorate(err, "claim: cannot encode record"))
	}
	return b
}

func decode(it platformapi.Item) (record, error) {
	var r record
	err := json.Unmarshal(it.Value, &r)
	return r, err
}

// Package platformapi defines the HTTP interface of the platform: table, object store, instance list, weight store.
// All bodies are JSON. The platform's own documentation is authoritative; the stand-in implements the same interface.
package platformapi

// Paths of the interface.
const (
	PathTxn       = "/table/txn"   // POST Txn, answers TxnResult
	PathOp        = "/table/op/"   // GET {op id}: TxnResult of an earlier Txn; 404 when it did not take effect
	PathGet       = "/table/get"   // GET ?key=: Item; 404 when absent
	PathRange     = "/table/range" // GET ?prefix=&after_rev=&limit=: RangeResult
	PathObjects   = "/objects/"    // PUT, GET, DELETE {name}
	PathInstances = "/instances"   // GET: InstanceList, which lags by seconds
	PathWeights   = "/weights/"    // GET {model}/{version}: 200 when a transfer may start, 429 with Retry-After
)

// HeaderEra, in every response about the table, numbers its history, starting at FirstEra. A table restored from a backup loses what it
// had acknowledged since, begins a new era and reissues revisions. A response without the header is of the highest era seen so far.
const HeaderEra = "Table-Era"

// FirstEra is the era of a table that was never restored from a backup.
const FirstEra = 1

// eraShift leaves 40 bits, over a million million revisions, in an era.
const eraShift = 40

// OrderedRev combines an era and a revision issued in it into one number that orders by era first; in the first era it equals the
// revision. Revision 0, of an absent key, is 0 in every era.
func OrderedRev(era, rev uint64) uint64 {
	if rev == 0 {
		return 0
	}
	return (era-FirstEra)<<eraShift | rev
}

// EraStart returns a value below every ordered revision of an era and above those of earlier eras.
func EraStart(era uint64) uint64 { return (era - FirstEra) << eraShift }

// EraOf returns the era of an ordered revision.
func EraOf(ordered uint64) uint64 { return ordered>>eraShift + FirstEra }

// RevOf returns the table's own revision of an ordered revision.
func RevOf(ordered uint64) uint64 { return ordered & (1<<eraShift - 1) }

// Cond holds when the key's revision equals Rev. Rev 0 means that the key is absent.
type Cond struct {
	Key string `json:"key"`
	Rev uint64 `json:"rev"`
}

// Put writes a value.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Txn applies all of Puts and Deletes if every Cond holds, and nothing otherwise. OpID makes it idempotent:
// a repeated OpID returns the first result and writes nothing.
type Txn struct {
	OpID    string   `json:"op_id"`
	Conds   []Cond   `json:"conds,omitempty"`
	Puts    []Put    `json:"puts,omitempty"`
	Deletes []string `json:"deletes,omitempty"`
}

// TxnResult is the result of a Txn. Rev is the table's revision after it; Failed holds the current items of the conditions
// that did not hold (an absent key has Rev 0).
type TxnResult struct {
	Committed bool   `json:"committed"`
	Rev       uint64 `json:"rev"`
	Failed    []Item `json:"failed,omitempty"`
}

// Item is a key with its value and the revision of its last write.
type Item struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	Rev   uint64 `json:"rev"`
}

// RangeResult holds items under a prefix changed after a revision, in order of revision, and the table's revision.
// Deletions are not listed; use a tombstone value where they matter.
type RangeResult struct {
	Items []Item `json:"items"`
	Rev   uint64 `json:"rev"`
	More  bool   `json:"more"`
}

// Values of Instance.State.
const (
	InstanceLive    = "live"
	InstanceLeaving = "leaving"
)

// Instance is one machine of the system. Incarnation increases when the machine is replaced.
type Instance struct {
	ID            string `json:"id"`
	Incarnation   uint64 `json:"incarnation"`
	FailureDomain string `json:"failure_domain"`
	MeshAddr      string `json:"mesh_addr"` // IP:port
	State         string `json:"state"`
}

// InstanceList lags by seconds.
type InstanceList struct {
	Instances []Instance `json:"instances"`
}

// Key prefixes that the system uses in the table, collected here so that they do not collide.
const (
	KeySettingsHead = "settings/head" // current revision number and digest of the settings tree
	KeySettingsRev  = "settings/rev/" // settings/rev/%012d: one committed revision
	KeyLease        = "lease/"        // lease/{name}
	KeyClaim        = "claim/"        // claim/{workspace}/{hash of the key}
	KeyGeneration   = "generation/"   // generation/{id}: resume record of long or non-idempotent work
	KeyIntent       = "intent/"       // intent/{target}: desired state and fencing number
	KeyDrain        = "drain/"        // drain/{target}/{by}: a drain, on or off
	KeyPower        = "power/"        // power/report/{part}, power/share/{part}
)

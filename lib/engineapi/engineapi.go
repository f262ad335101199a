// Package engineapi defines the published HTTP interface of model engines, as documented for operators in docs/TARGETS.md.
//
// A completion is the OpenAI-compatible request with one extension object, Ext. The response is a stream of
// server-sent events, one Frame per token, ended by a Frame with FinishReason set and then by "data: [DONE]".
// A stream that ends without both has failed.
package engineapi

// Paths of the interface.
const (
	PathCompletions     = "/v1/completions"      // POST: prompt in Request.Prompt
	PathChatCompletions = "/v1/chat/completions" // POST: messages in Request.Messages
	PathGenerations     = "/v1/generations/"     // DELETE {id}?attempt=n: cancel and fence attempts <= n; answers CancelResult
	PathLoad            = "/v1/load"             // GET: LoadReport, which may be a second or more old
	PathCacheEvents     = "/v1/cache-events"     // GET ?after=seq, or ?snapshot=1: CacheEvents
	PathOrders          = "/v1/orders"           // POST: Order; 409 if the fencing number is old and fencing is enforced
	DoneData            = "[DONE]"
)

// HeaderSoftware is the header of a stream's response in which an engine names the version of its software, as in the settings of its target. It is optional.
const HeaderSoftware = "Engine-Software"

// Ext is the extension object that the system adds to the caller's request, under the key "ext".
type Ext struct {
	Generation string   `json:"generation"`            // 32 hexadecimal digits
	Attempt    uint32   `json:"attempt"`               // from 1; an engine rejects a fenced attempt
	StartIndex uint32   `json:"start_index"`           // index of the first token to send
	Priority   int      `json:"priority"`              // higher runs first
	Resume     []string `json:"resume,omitempty"`      // tokens [0, StartIndex), already delivered
	DeadlineMS int64    `json:"deadline_ms,omitempty"` // remaining time in milliseconds
}

// Message is one chat turn.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request is a completion request. The entry passes unknown fields of the caller's request through unchanged.
type Request struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt,omitempty"`
	Messages  []Message `json:"messages,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
	User      string    `json:"user,omitempty"`
	Ext       *Ext      `json:"ext,omitempty"`
}

// Delta is the chat form of one token.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Choice holds one token: Text for completions, Delta for chat.
type Choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text,omitempty"`
	Delta        *Delta  `json:"delta,omitempty"`
	FinishReason *string `json:"finish_reason"` // "stop" or "length" on the last frame
}

// FrameExt identifies each frame, so that an entry can drop late, duplicate or other attempts' frames.
type FrameExt struct {
	Generation string `json:"generation"`
	Attempt    uint32 `json:"attempt"`
	Index      uint32 `json:"index"` // token index; on the last frame, the number of tokens
}

// Frame is one event of a stream.
type Frame struct {
	ID      string   `json:"id,omitempty"`
	Object  string   `json:"object,omitempty"`
	Model   string   `json:"model,omitempty"`
	Choices []Choice `json:"choices,omitempty"`
	Ext     FrameExt `json:"ext"`
	Error   *Error   `json:"error,omitempty"`
}

// Error is the body of a rejection, or the error of a frame that ends a failed stream.
type Error struct {
	Type    string `json:"type"` // one of the Err* constants
	Message string `json:"message"`
	NotRun  bool   `json:"not_run"` // true: the engine guarantees that nothing was executed
}

// Values of Error.Type.
const (
	ErrOverloaded = "overloaded"    // 503, not run
	ErrFenced     = "fenced"        // 409: old attempt or old fencing number
	ErrNoModel    = "no_model"      // 404, not run
	ErrDraining   = "draining"      // 503, not run: the engine is leaving
	ErrPreempted  = "preempted"     // frame: the engine gave the sequence's memory to another and does not requeue it
	ErrBad        = "bad_request"   // 400, not run
	ErrNoResume   = "cannot_resume" // 409, not run: the engine does not resume streams
)

// CancelResult is the response to a cancel.
type CancelResult struct {
	Known  bool   `json:"known"`  // the engine has seen an attempt of this generation up to the cancelled one
	Ran    bool   `json:"ran"`    // some of the generation was executed
	Tokens uint32 `json:"tokens"` // number of tokens produced
}

// LoadReport is an engine's view of its own load; AgeMS is by its own clock. Memory is in tokens of key-value cache.
type LoadReport struct {
	Seq          uint64   `json:"seq"`
	AgeMS        int64    `json:"age_ms"` // age of the figures when sent
	Running      int      `json:"running"`
	Waiting      int      `json:"waiting"`
	KVUsed       int      `json:"kv_used"`
	KVTotal      int      `json:"kv_total"`
	MaxBatch     int      `json:"max_batch"`
	Preemptions  uint64   `json:"preemptions"` // since start
	Watts        float64  `json:"watts"`
	Model        string   `json:"model"`
	ModelVersion string   `json:"model_version"`
	Adapters     []string `json:"adapters,omitempty"`
	Role         string   `json:"role"` // "mixed", "prefill" or "decode"
	Leaving      bool     `json:"leaving"`
	Incarnation  uint64   `json:"incarnation"` // changes when the engine process is replaced
	Fence        uint64   `json:"fence"`       // highest fencing number seen
	Cancels      bool     `json:"cancels"`
	Resumes      bool     `json:"resumes"`
}

// CacheEvent reports that a prompt prefix was stored or evicted. Prefix is the hash of the prompt's first Tokens tokens.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Stored bool   `json:"stored"` // false: evicted
	Prefix uint64 `json:"prefix"`
	Tokens int    `json:"tokens"`
}

// CacheEvents is a page of events, or a snapshot of all prefixes stored at Seq.
type CacheEvents struct {
	Seq      uint64       `json:"seq"`
	Snapshot bool         `json:"snapshot"`
	Events   []CacheEvent `json:"events"`
}

// Values of Order.Kind.
const (
	OrderLoadModel   = "load_model"
	OrderLoadAdapter = "load_adapter"
	OrderLoadVersion = "load_version"
	OrderChangeRole  = "change_role"
)

// Order sets a desired state; repeating it changes nothing.
type Order struct {
	ID      string `json:"id"`
	Fence   uint64 `json:"fence"`
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// ServiceLoad is the load report of a plain service, at PathServiceLoad.
type ServiceLoad struct {
	Seq      uint64 `json:"seq"`
	AgeMS    int64  `json:"age_ms"`
	Running  int    `json:"running"`
	Capacity int    `json:"capacity"`
	Leaving  bool   `json:"leaving"`
}

// PathServiceLoad is the path at which a plain service reports its load.
const PathServiceLoad = "/load"

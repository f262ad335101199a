// Package enginemodel is a small, pure model of a model engine that batches continuously.
//
// Time is virtual: callers pass it, and ask Next when the step in progress ends. The stand-in engine runs the model in
// real time, the decision bench in virtual time; both see the same batching, the same growing key-value memory, the same
// preemptions and the same lagging reports. The same calls at the same times give the same results.
//
// A step decodes one token for each sequence in the batch and prefills up to PrefillChunk prompt tokens. It lasts
//
//	StepBase + StepPerSeq*decoding + StepPerContext*context tokens + StepPerPrefill*prefilled tokens
//
// Memory is counted in tokens: a sequence holds its prompt and every token emitted. When the next step would not fit,
// the engine preempts the sequence of lowest priority that arrived last; it goes back to the waiting queue and must
// prefill its prompt and its tokens again.
package enginemodel

import (
	"errors"
	"time"
)

// Config fixes an engine's size and speed.
type Config struct {
	Seed           uint64
	StepBase       time.Duration // time of a step without any sequence
	StepPerSeq     time.Duration // added for each decoding sequence
	StepPerContext time.Duration // added for each token of context that a step reads
	StepPerPrefill time.Duration // added for each prompt token prefilled
	PrefillChunk   int           // prompt tokens prefilled in one step at most
	MaxBatch       int           // sequences in a batch at most
	QueueBound     int           // waiting sequences at most
	KVTokens       int           // key-value memory in tokens
	CacheTokens    int           // prefix cache in tokens; 0: none
	ReportLag      time.Duration // load reports are between half of it and all of it old
	CacheEventLag  time.Duration // cache events are published so late
	CacheEventGap  int           // one cache event in so many is never published; 0: none is lost
	IdleWatts      float64
	SeqWatts       float64 // added for each sequence in the batch
	DropPreempted  bool    // preempted sequences leave the engine instead of waiting in its queue
}

// Default returns a middle-sized engine: about 30 ms a step when its batch is full.
func Default() Config {
	return Config{
		StepBase:       14 * time.Millisecond,
		StepPerSeq:     150 * time.Microsecond,
		StepPerContext: 150 * time.Nanosecond,
		StepPerPrefill: 40 * time.Microsecond,
		PrefillChunk:   512,
		MaxBatch:       48,
		QueueBound:     256,
		KVTokens:       48_000,
		CacheTokens:    12_000,
		ReportLag:      time.Second,
		CacheEventLag:  700 * time.Millisecond,
		CacheEventGap:  40,
		IdleWatts:      900,
		SeqWatts:       60,
	}
}

// Refusals of Add. Nothing of the sequence was run.
var (
	ErrQueueFull = errors.New("the engine's waiting queue is full")
	ErrTooLarge  = errors.New("the sequence can never fit the engine's memory")
	ErrLeaving   = errors.New("the engine is leaving")
)

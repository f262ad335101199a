// Package enginemodel simulates an inference engine with continuous batching.
//
// Time is virtual: callers pass it in, and Next returns when the step in progress ends. The stand-in engine runs the model in
// real time, the bench of decisions in virtual time; both get the same batching, growth of key-value memory, preemptions and
// delayed reports. The same calls at the same times give the same results.
//
// A step decodes one token for each sequence in the batch and prefills up to PrefillChunk prompt tokens. It lasts
//
//	StepBase + StepPerSeq*decoding + StepPerContext*context tokens + StepPerPrefill*prefilled tokens
//
// times the engine's own Speed, the momentary slowdown of Noise when it starts, and the factor set by SetStepFactor.
//
// Memory is counted in tokens: a sequence holds its prompt and all emitted tokens. If the next step would exceed the memory,
// the engine preempts, among the sequences of lowest priority, the one that arrived last; it returns to the waiting queue and
// its prompt and emitted tokens are prefilled again.
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
	PrefillChunk   int           // maximum prompt tokens prefilled per step
	MaxBatch       int           // maximum sequences in the batch
	QueueBound     int           // maximum waiting sequences
	KVTokens       int           // key-value memory in tokens
	CacheTokens    int           // prefix cache in tokens; 0: none
	ReportLag      time.Duration // load reports are between half and all of this old
	CacheEventLag  time.Duration // delay before cache events are published
	CacheEventGap  int           // on average one of this many cache events is lost; 0: none
	IdleWatts      float64
	SeqWatts       float64 // added for each sequence in the batch
	DropPreempted  bool    // preempted sequences leave the engine instead of waiting in its queue
	Speed          float64 // factor on the duration of all steps, for engines that differ; 0: 1
	Noise          Noise   // momentary slowdowns
}

// Default returns a medium-sized engine whose steps take about 30 ms when the batch is full.
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

// Errors returned by Add. No part of the sequence was run.
var (
	ErrQueueFull = errors.New("the engine's waiting queue is full")
	ErrTooLarge  = errors.New("the sequence can never fit the engine's memory")
	ErrLeaving   = errors.New("the engine is leaving")
)

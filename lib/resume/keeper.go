package resume

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"anvilwick.example/anvilwick/lib/feed"
)

const (
	// writeInterval is the period at which a keeper writes a row: the loss of all instances loses the records of that time.
	writeInterval = 250 * time.Millisecond
	// retryMax bounds the pause after failed writes, which doubles with each.
	retryMax = 4 * time.Second
	// maxRowEntries bounds a row. The store takes rows of 64 KB.
	maxRowEntries = 1024
	// maxPending bounds the records that wait for the store: those of all instances of a failure domain come at once when their service gets a
	// second version.
	maxPending = 160 << 10
	// rowPause is the pause between two rows of such a burst: the instances share the store's rate of writes.
	rowPause = 50 * time.Millisecond
	// staleRows is how long after its last record expired a row is removed if its writer has not used it again.
	staleRows = 10 * time.Minute
	// proofTTL is how long a proof of a service's only version, which takes a write, or its failure is used: as long as others may need to write what
	// they could not write before.
	proofTTL = time.Second
	// maxRemoved bounds the rows removed at a time.
	maxRemoved = 50
)

var (
	rowsWritten = metrics.NewCounter(`anvilwick_resume_store_writes_total{ok="true"}`)
	rowsFailed  = metrics.NewCounter(`anvilwick_resume_store_writes_total{ok="false"}`)
	rowsRead    = metrics.NewCounter(`anvilwick_resume_store_reads_total`)
)

// Rows are the rows of records in the store.
type Rows interface {
	// Write writes a row.
	Write(ctx context.Context, key string, value []byte) error
	// ReadAll reads all rows.
	ReadAll(ctx context.Context) ([]feed.Row, error)
	// Remove removes rows.
	Remove(ctx context.Context, keys []string) error
}

// Keeper writes records to the store and reads them there.
type Keeper struct {
	self   string
	rows   Rows
	single func(ctx context.Context, service string) (software uint64, ok bool, err error)
	onErr  func(operation string, err error)

	// Prove returns an error unless a service has had the single version, by a proof that the store would show any other; nil: none is needed.
	Prove func(ctx context.Context, service string, software uint64) error

	mu      sync.Mutex
	pending []Entry
	wake    chan struct{}

	writing sync.Mutex // held while slots are used
	slots   []slot
	loaded  bool // slots of earlier incarnations are known

	reading sync.Mutex             // held during a read of all rows
	read    *Table                 // what was read from the store
	readAt  time.Time              // when the last complete read began
	singles map[string]onlyVersion // by service

	proofsMu sync.Mutex
	proofs   map[string]*proof // by service
}

// slot is a row of this instance, which is used again when its records have expired.
type slot struct{ expires time.Time }

// NewKeeper returns the keeper of an instance. single returns the software version of a service that has had only one for longer than any
// stream lasts; ok is false if it has had several.
func NewKeeper(self string, rows Rows, single func(ctx context.Context, service string) (uint64, bool, error), onErr func(string, error)) *Keeper {
	return &Keeper{self: self, rows: rows, single: single, onErr: onErr, wake: make(chan struct{}, 1), read: NewTable(), singles: make(map[string]onlyVersion), proofs: make(map[string]*proof)}
}

// onlyVersion is the result of Keeper.single.
type onlyVersion struct {
	readAt   time.Time
	software uint64
	ok       bool
	err      error
}

// onlyVersionOf returns the only version of a service. Queries that wait while it is read share the next read: after the loss of all instances
// there are many.
func (k *Keeper) onlyVersionOf(ctx context.Context, service string, requested time.Time) onlyVersion {
	k.reading.Lock()
	defer k.reading.Unlock()
	if v := k.singles[service]; v.readAt.After(requested) {
		return v
	}
	v := onlyVersion{readAt: time.Now()}
	v.software, v.ok, v.err = k.single(ctx, service)
	k.singles[service] = v
	return v
}

// Add has records written soon.
func (k *Keeper) Add(entries []Entry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pending = append(k.pending, entries...)
	if excess := len(k.pending) - maxPending; excess > 0 {
		k.pending = k.pending[excess:]
	}
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func (k *Keeper) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		}
		pause := writeInterval
		for k.flush(ctx) != nil && ctx.Err() == nil {
			time.Sleep(pause)
			pause = min(2*pause, retryMax)
		}
		time.Sleep(writeInterval)
	}
}

// flush writes the pending records. Those that can't be written are kept.
func (k *Keeper) flush(ctx context.Context) error {
	if !k.writing.TryLock() {
		return nil // a write is in progress, and the rest follows it
	}
	defer k.writing.Unlock()
	for {
		batch := k.take()
		if len(batch) == 0 {
			return nil
		}
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		err := k.write(callCtx, batch)
		cancel()
		if err != nil {
			rowsFailed.Inc()
			k.onErr("write", err)
			k.Add(batch)
			return err
		}
		rowsWritten.Inc()
		if len(batch) < maxRowEntries {
			return nil
		}
		time.Sleep(rowPause)
	}
}

func (k *Keeper) take() []Entry {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := min(maxRowEntries, len(k.pending))
	batch := k.pending[:n:n]
	k.pending = k.pending[n:]
	return batch
}

func (k *Keeper) write(ctx context.Context, batch []Entry) error {
	now := time.Now()
	if !k.loaded {
		if err := k.loadSlots(ctx, now); err != nil {
			return err
		}
	}
	i := 0
	for i < len(k.slots) && !now.After(k.slots[i].expires) {
		i++
	}
	if err := k.rows.Write(ctx, k.slotKey(i), encodeEntries(batch)); err != nil {
		return err
	}
	if i == len(k.slots) {
		k.slots = append(k.slots, slot{})
	}
	k.slots[i].expires = latest(batch)
	return nil
}

func (k *Keeper) slotKey(i int) string { return fmt.Sprintf("%s/%d", k.self, i) }

// loadSlots reads which rows earlier incarnations of this instance have left, so that their records are not overwritten.
func (k *Keeper) loadSlots(ctx context.Context, now time.Time) error {
	rows, err := k.rows.ReadAll(ctx)
	if err != nil {
		return err
	}
	left := make(map[string]time.Time)
	for _, row := range rows {
		if entries, err := decodeEntries(row.Value); err == nil && strings.HasPrefix(row.Key, k.self+"/") {
			left[row.Key] = latest(entries)
		}
	}
	for i := 0; len(left) > 0 && i < maxSlots; i++ {
		key := k.slotKey(i)
		k.slots = append(k.slots, slot{expires: left[key]})
		delete(left, key)
	}
	k.loaded = true
	return nil
}

// maxSlots bounds the rows of an instance that are looked for.
const maxSlots = 4096

// Find finds a record in the store, or the only version that a service has had. A record is looked for in any case: the services' rows can lack
// a version that streams have begun at.
func (k *Keeper) Find(ctx context.Context, q Query) Found {
	requested := time.Now()
	only := k.onlyVersionOf(ctx, q.Service, requested)
	if only.err != nil {
		k.onErr("read software", only.err)
	}
	if readErr := k.readRows(ctx, requested); readErr != nil {
		k.onErr("read", readErr)
		return Found{}
	}
	e, known := k.read.Get(requested, q.Key)
	if !known && only.ok {
		return Found{Software: only.software, Settled: true}
	}
	return Found{Software: e.Software, Settled: known || only.err == nil}
}

// Confirm checks a version that was found for a stream of which a peer that may hold the record has not answered. It holds if the store has the record, or if
// it is proven that the service has had no other version. Otherwise another query may find the record.
func (k *Keeper) Confirm(ctx context.Context, q Query, software uint64) Found {
	requested := time.Now()
	err := k.readRows(ctx, requested)
	if err != nil {
		k.onErr("read", err)
		return Found{}
	}
	if e, known := k.read.Get(requested, q.Key); known {
		return Found{Software: e.Software, Settled: true}
	}
	if err := k.prove(ctx, q.Service, software, requested); err != nil {
		k.onErr("prove software", err)
		return Found{}
	}
	return Found{Software: software, Settled: true}
}

// prove calls Prove. Queries that wait share the next proof.
func (k *Keeper) prove(ctx context.Context, service string, software uint64, requested time.Time) error {
	if k.Prove == nil {
		return nil
	}
	p := k.proofOf(service)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.software == software && requested.Sub(p.readAt) < proofTTL {
		return p.err
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	began := time.Now()
	err := k.Prove(ctx, service, software)
	if err != nil && ctx.Err() != nil {
		return err // the query's time was over, which says nothing about others
	}
	p.onlyVersion = onlyVersion{readAt: began, software: software, err: err}
	return err
}

// proof is the last proof of a service that was tried.
type proof struct {
	mu sync.Mutex // held during a proof
	onlyVersion
}

func (k *Keeper) proofOf(service string) *proof {
	k.proofsMu.Lock()
	defer k.proofsMu.Unlock()
	p := k.proofs[service]
	if p == nil {
		p = new(proof)
		k.proofs[service] = p
	}
	return p
}

// readRows reads the records in the store, unless a read that began after requested has done so.
func (k *Keeper) readRows(ctx context.Context, requested time.Time) error {
	k.reading.Lock()
	defer k.reading.Unlock()
	if k.readAt.After(requested) {
		return nil
	}
	start := time.Now()
	rows, err := k.rows.ReadAll(ctx)
	if err != nil {
		return err
	}
	rowsRead.Inc()
	var stale []string
	for _, row := range rows {
		entries, err := decodeEntries(row.Value)
		if err != nil {
			k.onErr("decode", err)
			continue
		}
		if start.Sub(latest(entries)) > staleRows && !strings.HasPrefix(row.Key, k.self+"/") {
			stale = append(stale, row.Key)
			continue
		}
		for _, e := range entries {
			if !start.After(e.Expires) {
				k.read.Put(start, e)
			}
		}
	}
	k.readAt = start
	k.removeStale(ctx, stale)
	return nil
}

func (k *Keeper) removeStale(ctx context.Context, keys []string) {
	if len(keys) == 0 {
		return
	}
	if err := k.rows.Remove(ctx, keys[:min(maxRemoved, len(keys))]); err != nil {
		k.onErr("remove", err)
	}
}

func latest(entries []Entry) (at time.Time) {
	for _, e := range entries {
		if e.Expires.After(at) {
			at = e.Expires
		}
	}
	return at
}

// entryBytes is the size of an encoded record: key, software and expiry in Unix milliseconds.
const entryBytes = 24

var errEntries = errors.New("resume: row is not a whole number of records")

func encodeEntries(entries []Entry) []byte {
	out := make([]byte, 0, entryBytes*len(entries))
	for _, e := range entries {
		out = binary.BigEndian.AppendUint64(out, e.Key)
		out = binary.BigEndian.AppendUint64(out, e.Software)
		out = binary.BigEndian.AppendUint64(out, uint64(e.Expires.UnixMilli()))
	}
	return out
}

func decodeEntries(b []byte) ([]Entry, error) {
	if len(b)%entryBytes != 0 {
		return nil, errEntries
	}
	out := make([]Entry, 0, len(b)/entryBytes)
	for ; len(b) > 0; b = b[entryBytes:] {
		out = append(out, Entry{
			Key: binary.BigEndian.Uint64(b), Software: binary.BigEndian.Uint64(b[8:]),
			Expires: time.UnixMilli(int64(binary.BigEndian.Uint64(b[16:]))),
		})
	}
	return out, nil
}

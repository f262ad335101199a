package proc

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// memoryInterval is how often the memory of a watched process is read.
const memoryInterval = 20 * time.Millisecond

// MemoryWatch reads the resident memory of a process until it ends and kills it beyond a limit, as a platform does.
type MemoryWatch struct {
	p     *Proc
	limit int64 // bytes; 0: none

	mu     sync.Mutex
	peak   int64
	killed bool
}

// WatchMemory starts to watch a process that is killed beyond limit bytes; 0: it is only watched.
func WatchMemory(p *Proc, limit int64) *MemoryWatch {
	w := &MemoryWatch{p: p, limit: limit}
	go w.run()
	return w
}

func (w *MemoryWatch) run() {
	tick := time.NewTicker(memoryInterval)
	defer tick.Stop()
	for {
		select {
		case <-w.p.Done():
			return
		case <-tick.C:
		}
		peak, err := PeakMemory(w.p.PID())
		if err != nil {
			continue // it has just ended, or is not yet executing its program
		}
		w.record(peak)
	}
}

func (w *MemoryWatch) record(peak int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.peak = max(w.peak, peak)
	if w.limit > 0 && peak > w.limit && !w.killed {
		w.killed = true
		go func() { _ = w.p.Kill() }()
	}
}

// Peak returns the highest resident memory seen, in bytes.
func (w *MemoryWatch) Peak() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peak
}

// Killed reports whether the process was killed for its memory.
func (w *MemoryWatch) Killed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.killed
}

// PeakMemory returns the peak resident memory of a process in bytes. A process that has just been forked has that of its parent, which
// is no error: call it for processes that run their program already.
func PeakMemory(pid int) (int64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(b)) {
		rest, ok := strings.CutPrefix(line, "VmHWM:")
		if !ok {
			continue
		}
		kb, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
		return kb << 10, err
	}
	return 0, errors.New("proc: no VmHWM in the process status")
}

package proc

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Intervals at which a watched process is measured.
const (
	memoryInterval = 20 * time.Millisecond
	unreadInterval = 100 * time.Millisecond
)

// MemoryWatch measures the memory of a process until it ends and kills it beyond a limit, as a platform does: its resident memory, and the bytes that
// its sockets have received and it has not read.
type MemoryWatch struct {
	p     *Proc
	limit int64 // bytes; 0: none

	mu         sync.Mutex
	peak       int64 // bytes
	peakUnread int64 // bytes
	killed     bool
}

// WatchMemory starts to watch a process that is killed beyond limit bytes; 0: it is only watched.
func WatchMemory(p *Proc, limit int64) *MemoryWatch {
	w := &MemoryWatch{p: p, limit: limit}
	go w.run()
	return w
}

func (w *MemoryWatch) run() {
	memory, unread := time.NewTicker(memoryInterval), time.NewTicker(unreadInterval)
	defer memory.Stop()
	defer unread.Stop()
	for {
		select {
		case <-w.p.Done():
			return
		case <-memory.C:
			peak, err := PeakMemory(w.p.PID())
			if err != nil {
				continue // it has just ended, or is not yet executing its program
			}
			w.record(peak, 0)
		case <-unread.C:
			used, err := Memory(w.p.PID())
			if err != nil {
				continue
			}
			bytes, err := UnreadBytes(w.p.PID())
			if err != nil {
				continue
			}
			w.record(used+bytes, bytes)
		}
	}
}

// record records a use of memory, of which bytes are unread.
func (w *MemoryWatch) record(used, unread int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.peak, w.peakUnread = max(w.peak, used), max(w.peakUnread, unread)
	if w.limit > 0 && used > w.limit && !w.killed {
		w.killed = true
		go func() { _ = w.p.Kill() }()
	}
}

// PeakUnread returns the most bytes seen that had been received and not read.
func (w *MemoryWatch) PeakUnread() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peakUnread
}

// Peak returns the most memory seen in use, in bytes: resident memory, with what was received and not read at the time.
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
func PeakMemory(pid int) (int64, error) { return statusBytes(pid, "VmHWM:") }

// Memory returns the resident memory of a process in bytes.
func Memory(pid int) (int64, error) { return statusBytes(pid, "VmRSS:") }

// statusBytes returns a field of a process's status that states a size.
func statusBytes(pid int, field string) (int64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(b)) {
		rest, ok := strings.CutPrefix(line, field)
		if !ok {
			continue
		}
		kb, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
		return kb << 10, err
	}
	return 0, fmt.Errorf("proc: no %s in the process status", field)
}

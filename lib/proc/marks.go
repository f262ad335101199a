package proc

import (
	"bytes"
	"strings"
	"sync"
)

// OutputScanner is a writer that searches the output of processes for patterns, such as the start of a panic message, and
// keeps the rest of each matching line. Each process must write whole lines.
type OutputScanner struct {
	Patterns []string

	mu    sync.Mutex
	lines []string
}

// PanicPrefixes are the starts of what the Go runtime prints when a process crashes.
var PanicPrefixes = []string{"panic:", "fatal error:"}

// Write implements io.Writer and never fails.
func (m *OutputScanner) Write(p []byte) (int, error) {
	for _, mark := range m.Patterns {
		if i := bytes.Index(p, []byte(mark)); i >= 0 {
			line, _, _ := strings.Cut(string(p[i:]), "\n")
			m.mu.Lock()
			m.lines = append(m.lines, line)
			m.mu.Unlock()
		}
	}
	return len(p), nil
}

// Lines returns the matches so far.
func (m *OutputScanner) Lines() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.lines...)
}

package proc

import (
	"bytes"
	"strings"
	"sync"
)

// OutputScanner is a writer that looks for texts in the output of processes, such as a panic's first words, and keeps the lines
// from there on. Each process must write whole lines.
type OutputScanner struct {
	Patterns []string

	mu    sync.Mutex
	lines []string
}

// PanicPrefixes begin what the Go runtime writes when a process fails.
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

// Lines returns what was found.
func (m *OutputScanner) Lines() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.lines...)
}

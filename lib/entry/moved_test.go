package entry

import (
	"bytes"
	"context"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/logline"
	"anvilwick.example/anvilwick/lib/placer"
	"anvilwick.example/anvilwick/lib/sched"
)

// preemptingPlacer is a Placer that lets a test preempt granted attempts.
type preemptingPlacer struct {
	placer.Placer
	mu     sync.Mutex
	last   sched.Request
	notify placer.Notify
	ends   []sched.EndReason
}

func (m *preemptingPlacer) Submit(service string, r sched.Request, notify placer.Notify) {
	m.mu.Lock()
	m.last, m.notify = r, notify
	m.mu.Unlock()
	m.Placer.Submit(service, r, notify)
}

func (m *preemptingPlacer) End(service string, g ids.Generation, attempt uint32, tokens int, reason sched.EndReason) {
	m.mu.Lock()
	m.ends = append(m.ends, reason)
	m.mu.Unlock()
	m.Placer.End(service, g, attempt, tokens, reason)
}

// preempt preempts an attempt: 0 is the current one, 1 the one before.
func (m *preemptingPlacer) preempt(back uint32) {
	m.mu.Lock()
	r, notify := m.last, m.notify
	m.mu.Unlock()
	notify(sched.Action{Kind: sched.ActPreempt, Gen: r.Gen, Attempt: r.Attempt - back})
}

// The engines' owner preempts a running attempt twice, and once an attempt that ended long ago. The caller may only see a
// pause: each token once, of one generation.
func TestMovedGenerationResumes(t *testing.T) {
	a, b := startEngine(t, nil), startEngine(t, nil)
	m := &preemptingPlacer{}
	r := newRig(t, siteText("", true, []string{a.Addr(), b.Addr()}, nil), func(o *Options) {
		m.Placer = o.Placer
		o.Placer = m
	})
	const prompt = "moved [len=90]"
	var st transcript
	st.read(t, eventsOf(r.send(context.Background(), callerRequest{prompt: prompt, stream: true})), func(n int) {
		switch n {
		case 10, 40:
			m.preempt(0)
		case 70:
			m.preempt(1)
		}
	})
	st.checkComplete(t, prompt, 90)
	must.Eq(t, []sched.EndReason{sched.EndMoved, sched.EndMoved, sched.EndCompleted}, m.ends)
}

// Every log line of a request must carry the request ID, and none may contain the caller's keys.
func TestLogLines(t *testing.T) {
	e := startEngine(t, nil)
	r := newRig(t, siteText("", true, []string{e.Addr()}, nil), withKeys(newMemoryStore().claims("e1"), newMemoryRecords()))
	const key = "the-callers-idempotency-key"
	resp := r.send(context.Background(), callerRequest{prompt: "logged [len=5]", stream: true, key: key})
	var st transcript
	st.read(t, eventsOf(resp), nil)
	id := resp.Header.Get("X-Request-Id")
	eventually(t, "request_end", func() bool { return strings.Contains(logged.String(), "event=request_end request="+id) })
	text := logged.String()
	must.StrNotContains(t, text, testKey)
	must.StrNotContains(t, text, key)
	for _, event := range []string{"attempt_start", "attempt_end", "request_end"} {
		must.StrContains(t, text, "event="+event+" request="+id)
	}
}

// logged collects the package's log output during tests. The logger is set up once, before any test runs, since requests of
// an earlier test may still be writing their last lines.
var logged lockedBuffer

func TestMain(m *testing.M) {
	if err := logline.Setup(&logged, "debug"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// lockedBuffer is a bytes.Buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

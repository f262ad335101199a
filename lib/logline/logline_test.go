package logline

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/phuslu/log"
	"github.com/shoenig/test/must"
)

// A line break in a value must not start what looks like a second event.
func TestLineBreaksInValuesAreEscaped(t *testing.T) {
	var buf bytes.Buffer
	old := log.DefaultLogger
	t.Cleanup(func() { log.DefaultLogger = old })
	must.NoError(t, Setup(&buf, "info"))
	log.Debug().Str("event", "hidden").Msg("")
	log.Info().Str("event", "seen").Bool("sent", true).Int("n", 3).AnErr("cause", errors.New("a\nlevel=error b")).Msg("")
	line := buf.String()
	must.Eq(t, 1, strings.Count(line, "\n"))
	must.StrContains(t, line, `level=info event=seen sent=true n=3 cause="a\nlevel=error b"`)
	must.StrNotContains(t, line, "hidden")
	must.Error(t, Setup(&buf, "loud"))
}

package procflags

import (
	"flag"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func parse(t *testing.T, args ...string) (Links, OperatorTokens) {
	t.Helper()
	var l Links
	var o OperatorTokens
	fs := flag.NewFlagSet("t", flag.ContinueOnError)
	l.Register(fs)
	o.Register(fs)
	must.NoError(t, fs.Parse(args))
	return l, o
}

func TestLinksRequireTLSUnlessPlaintextIsExplicit(t *testing.T) {
	for _, args := range [][]string{{}, {"-link-ca", "x"}, {"-plain-links", "-link-ca", "x"}} {
		l, _ := parse(t, args...)
		_, err := l.Options()
		must.Error(t, err, must.Sprint(args))
	}
	l, _ := parse(t, "-plain-links")
	opts, err := l.Options()
	must.NoError(t, err)
	must.True(t, opts.Plaintext)
}

func TestOperatorTokenHashes(t *testing.T) {
	_, o := parse(t, "-operator-token-sha256", strings.Repeat("ab", 32)+", "+strings.Repeat("cd", 32))
	hashes, err := o.Hashes()
	must.NoError(t, err)
	must.Len(t, 2, hashes)
	_, o = parse(t, "-operator-token-sha256", "secret")
	_, err = o.Hashes()
	must.Error(t, err)
	must.StrNotContains(t, err.Error(), "secret")
}

func TestCheckAddr(t *testing.T) {
	must.NoError(t, CheckAddr("listen", "127.0.0.1:80"))
	for _, bad := range []string{"", "localhost:80", "127.0.0.1", ":80"} {
		must.ErrorContains(t, CheckAddr("listen", bad), "-listen")
	}
}

package siterun

import (
	"flag"
	"testing"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/entryproc"
)

func TestPolicyNamesMatchEntrySchedulers(t *testing.T) {
	var entry entryproc.Config
	entry.Register(flag.NewFlagSet("", flag.ContinueOnError))
	entry.Instance, entry.SettingsFile = "a", "settings.yaml"
	all := Policies{Names: "all"}
	for _, name := range all.names() {
		entry.Scheduler = schedulers[name]
		must.NoError(t, entry.Check())
	}
	must.NoError(t, (&Policies{Names: "anvilwick,round-robin"}).check())
	must.ErrorContains(t, (&Policies{Names: "anvilwick,"}).check(), `-policy: ""`)
	entry.Scheduler = "oracle"
	must.ErrorContains(t, entry.Check(), "-scheduler")
}

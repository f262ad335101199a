package main

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestSiteArguments(t *testing.T) {
	opt, err := parseSite([]string{"crowded,bursts", "-policies", "owners,stay", "-seeds", "2-3", "-instances", "72"})
	must.NoError(t, err)
	must.Eq(t, []string{"crowded", "bursts"}, opt.patterns)
	must.Eq(t, []string{"owners", "stay"}, opt.policies)
	must.Eq(t, []uint64{2, 3}, opt.seeds)
	must.Eq(t, 72, opt.instances)
	for _, bad := range [][]string{{}, {"-seeds", "1"}, {"crowded", "-seeds", "x"}, {"crowded", "-instances", "-1"}, {"crowded", "more"}} {
		_, err := parseSite(bad)
		must.Error(t, err, must.Sprint(bad))
	}
	must.Error(t, compareSite(siteOptions{patterns: []string{"nothing"}, policies: []string{"owners"}, seeds: []uint64{1}}))
}

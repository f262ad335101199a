package doctest

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const metricPrefix = "anvilwick_"

var (
	metricOnPage = regexp.MustCompile(`anvilwick_[a-z_]+`)
	// literalName matches a full metric name in a call that registers a metric, or in the format passed to such a call.
	literalName = regexp.MustCompile("[\"`](anvilwick_[a-z_]+)[\"`{]")
	// shortName matches a name passed to one of lib/entrymetrics' helpers, which add the prefix.
	shortName = regexp.MustCompile(`(?:histogram|counter|Gauge)\("([a-z_]+)"`)
)

// readerPackages are packages that mention metrics registered elsewhere.
var readerPackages = []string{"siterun", "capacity"}

func unregistered(page string, registered map[string]bool) []string {
	var out []string
	for _, name := range metricOnPage.FindAllString(page, -1) {
		if !registered[name] {
			out = append(out, name)
		}
	}
	return out
}

func registeredMetrics(t *testing.T, root string) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && slices.Contains(readerPackages, d.Name()) {
			return filepath.SkipDir
		}
		if filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		code, err := os.ReadFile(path)
		for _, m := range literalName.FindAllSubmatch(code, -1) {
			names[string(m[1])] = true
		}
		for _, m := range shortName.FindAllSubmatch(code, -1) {
			names[metricPrefix+string(m[1])] = true
		}
		return err
	})
	must.NoError(t, err)
	return names
}

// An alert on a metric that a page documents but no program registers would never fire, and nobody would notice.
func TestPagesNameOnlyRegisteredMetrics(t *testing.T) {
	registered := registeredMetrics(t, filepath.Join("..", "..", "lib"))
	must.True(t, registered["anvilwick_results_total"])
	must.True(t, registered["anvilwick_stall_seconds"])
	pages, err := filepath.Glob(filepath.Join("..", "..", "docs", "*.md"))
	must.NoError(t, err)
	must.SliceNotEmpty(t, pages)
	for _, p := range pages {
		page, err := os.ReadFile(p)
		must.NoError(t, err)
		must.SliceEmpty(t, unregistered(string(page), registered), must.Sprint(p))
	}
}

func TestUnregisteredMetricIsReported(t *testing.T) {
	registered := map[string]bool{"anvilwick_stall_seconds": true}
	must.Eq(t, []string{"anvilwick_stalls_seconds"}, unregistered("`anvilwick_stall_seconds`, `anvilwick_stalls_seconds`", registered))
}

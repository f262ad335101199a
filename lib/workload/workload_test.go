package workload

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/engineapi"
)

const window = 4 * time.Minute

func TestSameSeedSameArrivals(t *testing.T) {
	for _, m := range Deployments() {
		a, b, c := m.Arrivals(3, window), m.Arrivals(3, window), m.Arrivals(4, window)
		must.Eq(t, len(a), len(b))
		for i := range a {
			must.Eq(t, a[i].At, b[i].At)
			must.Eq(t, a[i].Length, b[i].Length)
		}
		must.NotEq(t, a[len(a)/2].At, c[len(a)/2].At)
		must.True(t, slices.IsSortedFunc(a, func(x, y Request) int { return int(x.At - y.At) }))
	}
}

func TestOutputsAreHeavyTailed(t *testing.T) {
	m := Kivu()
	var lengths []int
	for _, r := range m.Arrivals(1, 20*time.Minute) {
		if r.Class.Name == "bordereau" {
			lengths = append(lengths, r.Length)
		}
	}
	slices.Sort(lengths)
	p50, p99 := lengths[len(lengths)/2], lengths[len(lengths)*99/100]
	test.Greater(t, 5*p50, p99)
	test.LessEq(t, m.MaxTokens, lengths[len(lengths)-1])
}

func TestTextMatchesTokenCountAndSharesTemplate(t *testing.T) {
	m := Kelburn()
	byKey := map[string]uint64{}
	for _, r := range m.Arrivals(1, 10*time.Second) {
		text := r.Text()
		must.Eq(t, r.Prompt, engineapi.CountTokens(text))
		hashes := engineapi.PrefixHashes(text)
		shared := slices.Index([]int{64, 128, 256, 512, 1024}, r.Class.Template)
		key := r.Workspace + r.Class.Name
		if want, ok := byKey[key]; ok {
			must.Eq(t, want, hashes[shared])
		}
		byKey[key] = hashes[shared]
	}
}

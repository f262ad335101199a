package routes

import (
	"testing"

	"github.com/shoenig/test/must"
)

func testTable(t *testing.T) *Table {
	t.Helper()
	tab, err := NewTable(&Revision{
		Version: 7,
		Routes: []Route{
			{Name: "short", Host: "h", Prefix: "/a/", Kind: Idempotent, Split: []Share{{Service: "s", Weight: 1}}},
			{Name: "long", Host: "h", Prefix: "/a/b/", Kind: Stream, Resumable: true, Split: []Share{{Service: "s", Weight: 9}, {Service: "t", Weight: 1}}},
		},
		Services:    []Service{{Name: "s"}, {Name: "t"}},
		Workspaces:  []Workspace{{Name: "w", Keys: []string{"k1", "k2"}}},
		KeyRequired: true,
	})
	must.NoError(t, err)
	return tab
}

func TestMatchLongestPrefix(t *testing.T) {
	tab := testTable(t)
	for path, want := range map[string]string{"/a/x": "short", "/a/b/x": "long", "/a/bx": "short", "/a": "", "/b/a/": ""} {
		r := tab.Match("h", path)
		if want == "" {
			must.Nil(t, r, must.Sprint(path))
			continue
		}
		must.Eq(t, want, r.Name, must.Sprint(path))
	}
	must.Nil(t, tab.Match("other", "/a/x"))
}

func TestLookupKeysAndServices(t *testing.T) {
	tab := testTable(t)
	must.Eq(t, "w", tab.WorkspaceForKey("k2").Name)
	must.Nil(t, tab.WorkspaceForKey(""))
	must.Nil(t, tab.WorkspaceForKey("k3"))
	must.NotNil(t, tab.Service("t"))
	must.Nil(t, tab.Service("u"))
}

func TestPickServiceByWeight(t *testing.T) {
	r := testTable(t).Match("h", "/a/b/x")
	must.Eq(t, "s", r.PickService(0))
	must.Eq(t, "s", r.PickService(0.89))
	must.Eq(t, "t", r.PickService(0.91))
	must.Eq(t, "t", r.PickService(0.999999))
	r.Split = []Share{{Service: "s"}, {Service: "t"}}
	must.Eq(t, "s", r.PickService(0.5))
}

func TestMayRepeatByKind(t *testing.T) {
	must.True(t, (&Route{Kind: Idempotent}).MayRepeat())
	must.False(t, (&Route{Kind: NonIdempotent}).MayRepeat())
	must.False(t, (&Route{Kind: Stream}).MayRepeat())
	must.True(t, (&Route{Kind: Stream, Resumable: true}).MayRepeat())
}

// A revision that would route requests wrongly must be rejected as a whole, so that the current one stays in use.
func TestInvalidRevisionsAreRejected(t *testing.T) {
	for name, r := range map[string]Route{
		"no service":      {Kind: Idempotent},
		"unknown service": {Kind: Idempotent, Split: []Share{{Service: "x"}}},
		"unknown kind":    {Kind: 9, Split: []Share{{Service: "s"}}},
	} {
		_, err := NewTable(&Revision{Routes: []Route{r}, Services: []Service{{Name: "s"}}})
		must.Error(t, err, must.Sprint(name))
	}
}

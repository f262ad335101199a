package settingsync

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/platformapi"
	"anvilwick.example/anvilwick/lib/settings"
)

// FuzzRecord checks that a table item is either rejected or unpacks, within bounds, to the text that matches its digest.
func FuzzRecord(f *testing.F) {
	for _, base := range [][]byte{nil, tree(1)} {
		body, err := pack(tree(2), base)
		must.NoError(f, err)
		value, err := json.Marshal(Record{Revision: 2, FullRevision: 1, Digest: Digest(tree(2)), Body: body})
		must.NoError(f, err)
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		rec, err := decodeRecord(platformapi.Item{Key: "k", Value: value})
		if err != nil {
			return
		}
		text, err := rec.text(tree(1))
		if err != nil {
			return
		}
		must.LessEq(t, settings.MaxFile, len(text))
		must.Eq(t, rec.Digest, Digest(text))
	})
}

package feed

import (
	"cmp"
	"slices"
)

// changeLog holds the most recent changes of a table ordered by version, so that recent changes are found without scanning
// all rows. It holds no values: those of rows that were written again are no longer needed.
type changeLog struct {
	base    int64 // the log holds all changes after this version
	changes []change
}

// change says that a row was written.
type change struct {
	version int64
	key     string
}

// maxChanges bounds the changes that a log holds. A reader that is further behind costs a scan of all rows.
const maxChanges = 4096

// reset empties the log; it holds the changes after the given version from then on.
func (l *changeLog) reset(version int64) { l.base, l.changes = version, nil }

func (l *changeLog) add(row Row) {
	if row.Version <= l.base {
		return
	}
	l.changes = slices.Insert(l.changes, l.after(row.Version), change{row.Version, row.Key})
	if len(l.changes) > maxChanges {
		n := len(l.changes) / 2
		l.base = l.changes[n-1].version
		l.changes = slices.Clone(l.changes[n:])
	}
}

// after returns the index of the first change after a version.
func (l *changeLog) after(version int64) int {
	i, _ := slices.BinarySearchFunc(l.changes, version+1, func(c change, version int64) int { return cmp.Compare(c.version, version) })
	return i
}

// since returns the rows changed after a version as current has them; ok is false if the log does not reach back that far.
func (l *changeLog) since(version int64, current map[string]Row) (rows []Row, ok bool) {
	if version < l.base {
		return nil, false
	}
	for _, c := range l.changes[l.after(version):] {
		if held, known := current[c.key]; known && held.Version == c.version {
			rows = append(rows, held)
		}
	}
	return rows, true
}

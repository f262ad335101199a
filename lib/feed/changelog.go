package feed

import (
	"cmp"
	"slices"
)

// changeLog holds the most recent changes of a table ordered by version, so that recent changes are found without scanning
// all rows.
type changeLog struct {
	base int64 // the log holds all changes after this version
	rows []Row
}

// maxChanges bounds the changes that a log holds. A reader that is further behind costs a scan of all rows.
const maxChanges = 4096

// reset empties the log; it holds the changes after the given version from then on.
func (l *changeLog) reset(version int64) { l.base, l.rows = version, nil }

func (l *changeLog) add(row Row) {
	if row.Version <= l.base {
		return
	}
	i, _ := slices.BinarySearchFunc(l.rows, row.Version+1, func(r Row, version int64) int { return cmp.Compare(r.Version, version) })
	l.rows = slices.Insert(l.rows, i, row)
	if len(l.rows) > maxChanges {
		n := len(l.rows) / 2
		l.base = l.rows[n-1].Version
		l.rows = slices.Clone(l.rows[n:])
	}
}

// since returns the rows changed after a version that are still the latest state in current; ok is false if the log does not
// reach back that far.
func (l *changeLog) since(version int64, current map[string]Row) (rows []Row, ok bool) {
	if version < l.base {
		return nil, false
	}
	i, _ := slices.BinarySearchFunc(l.rows, version+1, func(r Row, version int64) int { return cmp.Compare(r.Version, version) })
	for _, row := range l.rows[i:] {
		if held, known := current[row.Key]; known && held.Version == row.Version {
			rows = append(rows, row)
		}
	}
	return rows, true
}

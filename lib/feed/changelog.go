package feed

import (
	"cmp"
	"slices"
)

// changeLog has the last changes of a table in the order of their versions, so that what has changed lately is told without a walk
// over all rows.
type changeLog struct {
	from int64 // it has all changes after this version
	rows []Row
}

// changesMost bounds the changes that a log keeps. Whoever is further behind costs a walk.
const changesMost = 4096

// restart empties the log of a table as of a version.
func (l *changeLog) restart(at int64) { l.from, l.rows = at, nil }

func (l *changeLog) add(row Row) {
	if row.Version <= l.from {
		return
	}
	at, _ := slices.BinarySearchFunc(l.rows, row.Version+1, func(r Row, version int64) int { return cmp.Compare(r.Version, version) })
	l.rows = slices.Insert(l.rows, at, row)
	if len(l.rows) > changesMost {
		n := len(l.rows) / 2
		l.from = l.rows[n-1].Version
		l.rows = slices.Clone(l.rows[n:])
	}
}

// since returns the rows changed after a version, of which current are those held; ok is false when the log does not reach back so
// far.
func (l *changeLog) since(version int64, current map[string]Row) (rows []Row, ok bool) {
	if version < l.from {
		return nil, false
	}
	at, _ := slices.BinarySearchFunc(l.rows, version+1, func(r Row, version int64) int { return cmp.Compare(r.Version, version) })
	for _, row := range l.rows[at:] {
		if held, known := current[row.Key]; known && held.Version == row.Version {
			rows = append(rows, row)
		}
	}
	return rows, true
}

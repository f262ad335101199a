package poison

import "time"

// Level is how strongly a content was suspected before a death.
type Level uint8

// Levels.
const (
	LevelNone       Level = iota
	LevelWeak             // was aboard, among many, when an engine died
	LevelStrong           // had only just started when an engine died, or was aboard more than once
	LevelExonerated       // finished elsewhere not long before: not to blame
	LevelFinished         // marks a Record of a run that finished
)

// rounding is how far a sum of parts may fall short of the whole.
const rounding = 1e-6

// weigh sums the blame of a content that still counts, but for one death, and tells when its last death was and when
// last heard of.
func (t *Table) weigh(now time.Time, fingerprint, except uint64, c *content) (weight float64, last, heard time.Time) {
	for id := range c.deaths {
		d := t.deaths[id]
		if id == except || d == nil || !d.at.After(c.cleared) || now.Sub(d.at) >= t.cfg.Window {
			continue
		}
		weight += d.share(fingerprint)
		if d.at.After(last) {
			last = d.at
		}
		if d.heard.After(heard) {
			heard = d.heard
		}
	}
	return weight, last, heard
}

// share is the part of a death that is laid at one content. Those that were suspected most before it share one death
// between them; the others aboard are innocent by all likelihood. When none was suspected, each gets a whole one.
func (d *death) share(fingerprint uint64) float64 {
	top, n := LevelNone, 0
	for _, b := range d.aboard {
		switch {
		case b.level == LevelExonerated:
		case b.level > top:
			top, n = b.level, 1
		case b.level == top:
			n++
		}
	}
	switch {
	case d.aboard[fingerprint].level < top, d.aboard[fingerprint].level == LevelExonerated:
		return 0
	case top == LevelNone:
		return 1
	}
	return 1 / float64(n)
}

// level is how strongly a content is suspected now, but for one death: peers may have told of it already, and it is not
// to count as a suspicion before itself.
func (t *Table) level(now time.Time, fingerprint, except uint64) Level {
	c := t.contents[fingerprint]
	if c == nil {
		return LevelNone
	}
	weight, _, _ := t.weigh(now, fingerprint, except, c)
	if weight == 0 {
		return LevelNone
	}
	if weight > 1+rounding {
		return LevelStrong
	}
	for id := range c.deaths {
		d := t.deaths[id]
		if id != except && d != nil && d.at.After(c.cleared) && d.aboard[fingerprint].newest && d.share(fingerprint) > 0 {
			return LevelStrong
		}
	}
	return LevelWeak
}

// vouchers remembers contents that finished lately, for between one and two periods.
//
// Failure: a rack fails and takes several targets with it. A call that everybody makes, such as a status check, was
// aboard all of them, and would be refused everywhere as if it had killed them. Content that kills does not finish.
type vouchers struct {
	period      time.Duration
	max         int
	turned      time.Time
	recent, old map[uint64]struct{}
}

func (v *vouchers) add(now time.Time, fingerprint uint64) {
	v.turn(now)
	if v.recent == nil {
		v.recent = make(map[uint64]struct{})
	}
	v.recent[fingerprint] = struct{}{}
}

func (v *vouchers) has(now time.Time, fingerprint uint64) bool {
	v.turn(now)
	_, recent := v.recent[fingerprint]
	_, old := v.old[fingerprint]
	return recent || old
}

func (v *vouchers) turn(now time.Time) {
	switch {
	case now.Sub(v.turned) >= 2*v.period:
		v.recent, v.old, v.turned = nil, nil, now
	case now.Sub(v.turned) >= v.period || len(v.recent) >= v.max:
		v.recent, v.old, v.turned = nil, v.recent, now
	}
}

package feedlink

import (
	"time"

	"anvilwick.example/anvilwick/lib/feed"
)

// Parts divides a table of which most instances need some rows only. It is safe for concurrent use.
type Parts interface {
	// Wanted reports whether this instance holds no more than the rows that it needs.
	Wanted() bool
	// Needed returns what another instance needs of the table; nil: all of it.
	Needed(instance, domain string) *Need
	// Digest is what one that holds a part has to know of the rest.
	Digest() []byte
	// TakeDigest takes in what a peer has told.
	TakeDigest([]byte) error
}

// Need is what an instance needs of a table.
type Need struct {
	Name string // differs whenever something else is needed
	Has  func(feed.Row) bool
}

// wantsPart reports whether this instance asks for a part of a table only.
func (t *Table) wantsPart() bool { return t.Parts != nil && t.Parts.Wanted() }

// hasPart reports whether the table is held in part, so that it can't be passed on.
func (p *passed) hasPart() bool { return p.replica.Part() }

// need returns what the asker needs of a table; nil: all of it.
func (p *passed) need() *Need {
	if !p.part {
		return nil
	}
	return p.parts.Needed(p.instance, p.domain)
}

// next returns the page that the asker is to be sent of a table.
func (p *passed) next() (page feed.Page, whole, known bool, contact time.Time) {
	need := p.need()
	if need.name() != p.needed {
		p.after.Version = 0 // it has too little or too much
	}
	if need == nil {
		page, whole, contact, known = p.replica.Since(p.after)
	} else {
		page, whole, contact, known = p.replica.SinceOf(p.after, need.Has)
		page.Part = true
	}
	if known {
		p.needed = need.name()
	}
	return page, whole, known, contact
}

func (n *Need) name() string {
	if n == nil {
		return ""
	}
	return n.Name
}

// digest returns what the asker is to be told of the rest of a table; nil: nothing that it does not know.
func (p *passed) digest() []byte {
	if p.needed == "" {
		return nil
	}
	d := p.parts.Digest()
	if string(d) == p.told {
		return nil
	}
	p.told = string(d)
	return d
}

package settings

import (
	"math/bits"
	"slices"

	"gopkg.in/yaml.v3"
)

// field is one key of a node of type T. A key stands in one table only; parsing, resolving, explaining, comparing
// and the docs all walk that table.
type field[T any] struct {
	key    string
	unit   string
	want   string
	def    string // default as a file would write it; empty: the zero value
	doc    string
	must   bool // the key has no default and must be given
	secret bool
	read   func(*T, *yaml.Node) error
	show   func(*T) string
	move   func(dst, src *T)
}

// bind ties a key to the struct field that at returns.
func bind[T, V any](key string, k kind[V], def, doc string, at func(*T) *V) field[T] {
	return field[T]{
		key:    key,
		unit:   k.unit,
		want:   k.want,
		def:    def,
		doc:    doc,
		secret: k.secret,
		read: func(t *T, n *yaml.Node) error {
			v, err := k.parse(n)
			if err == nil {
				*at(t) = v
			}
			return err
		},
		show: func(t *T) string { return k.format(*at(t)) },
		move: func(dst, src *T) { *at(dst) = *at(src) },
	}
}

// required marks a key that has no default.
func required[T any](f field[T]) field[T] {
	f.must = true
	return f
}

// node holds the values that one place of the tree gives, and which ones it gives.
type node[T any] struct {
	path  string
	line  int
	vals  T
	given uint64  // bit i: fields[i] is given
	lines []int32 // line of fields[i], when given
}

func (n *node[T]) has(i int) bool { return n != nil && n.given&(1<<i) != 0 }

func (n *node[T]) set(i, size, line int) {
	if n.lines == nil {
		n.lines = make([]int32, size)
	}
	n.given |= 1 << i
	n.lines[i] = int32(line)
}

// defaults returns a T with the default of each field.
func defaults[T any](fields []field[T]) T {
	var t T
	for _, f := range fields {
		if f.def == "" {
			continue
		}
		var doc yaml.Node
		err := yaml.Unmarshal([]byte(f.def), &doc)
		if err == nil {
			err = f.read(&t, doc.Content[0])
		}
		if err != nil {
			panic("settings: default of " + f.key + " is not valid: " + f.def)
		}
	}
	return t
}

// resolve returns base with every field given along chain, nearest first.
func resolve[T any](fields []field[T], base T, chain []*node[T]) T {
	for _, n := range slices.Backward(chain) {
		if n == nil {
			continue
		}
		for given := n.given; given != 0; given &= given - 1 {
			fields[bits.TrailingZeros64(given)].move(&base, &n.vals)
		}
	}
	return base
}

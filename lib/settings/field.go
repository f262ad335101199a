package settings

import (
	"math/bits"
	"slices"

	"gopkg.in/yaml.v3"
)

// field describes one key of a node of type T. Parsing, resolving, explaining, diffing and the docs all use the same field
// tables.
type field[T any] struct {
	key      string
	unit     string
	expected string
	def      string // default in YAML syntax; empty: the zero value
	doc      string
	required bool // the key has no default and must be set
	secret   bool
	parse    func(*T, *yaml.Node) error
	format   func(*T) string
	assign   func(dst, src *T)
}

// bind returns a field for key that is stored in the struct field that ref returns.
func bind[T, V any](key string, k kind[V], def, doc string, ref func(*T) *V) field[T] {
	return field[T]{
		key:      key,
		unit:     k.unit,
		expected: k.expected,
		def:      def,
		doc:      doc,
		secret:   k.secret,
		parse: func(t *T, n *yaml.Node) error {
			v, err := k.parse(n)
			if err == nil {
				*ref(t) = v
			}
			return err
		},
		format: func(t *T) string { return k.format(*ref(t)) },
		assign: func(dst, src *T) { *ref(dst) = *ref(src) },
	}
}

// required marks a field as one without a default.
func required[T any](f field[T]) field[T] {
	f.required = true
	return f
}

// node holds the values set at one place of the tree, and which fields are set there.
type node[T any] struct {
	path  string
	line  int
	vals  T
	given uint64  // bit i: fields[i] is set
	lines []int32 // line of fields[i], if set
}

func (n *node[T]) has(i int) bool { return n != nil && n.given&(1<<i) != 0 }

func (n *node[T]) set(i, size, line int) {
	if n.lines == nil {
		n.lines = make([]int32, size)
	}
	n.given |= 1 << i
	n.lines[i] = int32(line)
}

// defaults returns a T with all defaults set.
func defaults[T any](fields []field[T]) T {
	var t T
	for _, f := range fields {
		if f.def == "" {
			continue
		}
		var doc yaml.Node
		err := yaml.Unmarshal([]byte(f.def), &doc)
		if err == nil {
			err = f.parse(&t, doc.Content[0])
		}
		if err != nil {
			panic("settings: default of " + f.key + " is not valid: " + f.def)
		}
	}
	return t
}

// resolve returns base overridden by the fields set along chain, which starts with the nearest node.
func resolve[T any](fields []field[T], base T, chain []*node[T]) T {
	for _, n := range slices.Backward(chain) {
		if n == nil {
			continue
		}
		for given := n.given; given != 0; given &= given - 1 {
			fields[bits.TrailingZeros64(given)].assign(&base, &n.vals)
		}
	}
	return base
}

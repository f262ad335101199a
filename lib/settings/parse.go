package settings

import (
	"bytes"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	"gopkg.in/yaml.v3"
)

// MaxFile is the maximum size of a settings file, in bytes.
const MaxFile = 2 << 20

// maxShown bounds how many bytes of an invalid value are shown in a problem.
const maxShown = 64

// Top-level keys, and keys of nodes that contain other nodes.
const (
	keySite       = "site"
	keyPolicy     = "policy"
	keyClasses    = "classes"
	keyWorkspaces = "workspaces"
	keyServices   = "services"
	keyTargets    = "targets"
	keyRoutes     = "routes"
)

var yamlLine = regexp.MustCompile(`^yaml: (?:line (\d+): )?(.*)`)

// Parse parses and validates a settings file. A file with any problem is rejected as a whole, with a *ValidationError that
// lists file, line, key and expected value. The file name is used in messages only.
func Parse(text []byte, file string) (*Tree, error) {
	p := &parser{collector: collector{file: file}}
	root := p.parseDocument(text)
	if root == nil {
		return nil, p.err()
	}
	t := p.parseTree(root)
	t.File = file
	t.source = text
	if p.err() == nil {
		p.check(t)
	}
	if err := p.err(); err != nil {
		return nil, err
	}
	return t, nil
}

type parser struct{ collector }

// parseDocument decodes one YAML document. It returns nil after adding a problem.
func (p *parser) parseDocument(text []byte) *yaml.Node {
	if len(text) > MaxFile {
		p.add(0, "", fmt.Sprintf("%d bytes", len(text)), fmt.Sprintf("%d bytes at most", MaxFile))
		return nil
	}
	dec := yaml.NewDecoder(bytes.NewReader(text))
	var doc, next yaml.Node
	if err := dec.Decode(&doc); err != nil {
		p.addSyntaxError(err)
		return nil
	}
	if err := dec.Decode(&next); err != io.EOF {
		p.add(next.Line, "", "a second document", "one YAML document")
		return nil
	}
	return doc.Content[0]
}

func (p *parser) addSyntaxError(err error) {
	if err == io.EOF {
		p.add(1, "", "an empty file", "a settings tree that starts with site:")
		return
	}
	line, msg := 0, err.Error()
	if m := yamlLine.FindStringSubmatch(msg); m != nil {
		line, _ = strconv.Atoi(m[1])
		msg = m[2]
	}
	p.add(line, "", "YAML that can't be read ("+msg+")", "a YAML mapping")
}

// eachKey calls each for every key of a mapping. Duplicates, aliases and merges are reported as problems and skipped.
func (p *parser) eachKey(n *yaml.Node, path string, each func(key string, k, v *yaml.Node)) {
	if n.Kind != yaml.MappingNode {
		p.add(n.Line, path, describe(n), "a mapping of keys to values")
		return
	}
	seen := make(map[string]int, len(n.Content)/2)
	for i := 0; i < len(n.Content); i += 2 {
		k, v := n.Content[i], n.Content[i+1]
		if k.Kind != yaml.ScalarNode || k.Tag == "!!merge" || v.Kind == yaml.AliasNode {
			p.add(k.Line, path, "an alias, merge or complex key", "plain keys and values written out")
			continue
		}
		if first, dup := seen[k.Value]; dup {
			p.add(k.Line, join(path, k.Value), "a second "+quote(k.Value), fmt.Sprintf("each key once (first at line %d)", first))
			continue
		}
		seen[k.Value] = k.Line
		each(k.Value, k, v)
	}
}

// eachNamed calls each for every child of a mapping from names to nodes.
func (p *parser) eachNamed(n *yaml.Node, path string, each func(name, path string, k, v *yaml.Node)) {
	p.eachKey(n, path, func(name string, k, v *yaml.Node) {
		if !namePattern.MatchString(name) {
			p.add(k.Line, path, quote(name), kindName.expected)
			return
		}
		each(name, join(path, name), k, v)
	})
}

// parseNode parses a mapping into dst by its field table. Keys in children are parsed by their own function.
func parseNode[T any](p *parser, dst *node[T], fields []field[T], n *yaml.Node, path string, line int, children map[string]func(v *yaml.Node, path string)) {
	dst.path, dst.line = path, line
	p.eachKey(n, path, func(key string, k, v *yaml.Node) {
		sub := join(path, key)
		if read := children[key]; read != nil {
			read(v, sub)
			return
		}
		for i := range fields {
			if fields[i].key == key {
				parseField(p, dst, fields, i, v, sub)
				return
			}
		}
		p.add(k.Line, sub, "an unknown key", "one of "+keysOf(fields, children))
	})
	for i, f := range fields {
		if f.required && !dst.has(i) {
			p.add(line, join(path, f.key), "", f.expected+", it has no default")
		}
	}
}

func parseField[T any](p *parser, dst *node[T], fields []field[T], i int, v *yaml.Node, path string) {
	f := fields[i]
	dst.set(i, len(fields), v.Line)
	if f.parse(&dst.vals, v) == nil {
		return
	}
	got := describe(v)
	if f.secret {
		got = ""
	}
	p.add(v.Line, path, got, f.expected)
}

func keysOf[T any](fields []field[T], children map[string]func(*yaml.Node, string)) string {
	keys := make([]string, 0, len(fields)+len(children))
	for _, f := range fields {
		keys = append(keys, f.key)
	}
	return strings.Join(append(keys, sortedKeys(children)...), ", ")
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func quote(s string) string {
	if len(s) > maxShown {
		s = s[:maxShown] + "..."
	}
	return strconv.Quote(s)
}

// describe describes an invalid value for a problem.
func describe(n *yaml.Node) string {
	switch n.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	case yaml.AliasNode:
		return "an alias"
	}
	if n.Tag == "!!null" {
		return "nothing"
	}
	return quote(n.Value)
}

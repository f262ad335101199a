// Package doctest compares generated sections of pages in docs with the code.
package doctest

import (
	"bytes"
	"fmt"
	"os"
)

// ReplaceSection returns the page with content between the begin and end markers of the named section, and whether the page has
// that content already. It does not write the file.
func ReplaceSection(file, name string, content []byte) (page []byte, same bool, err error) {
	page, err = os.ReadFile(file)
	if err != nil {
		return nil, false, err
	}
	begin := fmt.Appendf(nil, "<!-- %s:begin -->\n", name)
	end := fmt.Appendf(nil, "<!-- %s:end -->", name)
	head, rest, beginFound := bytes.Cut(page, begin)
	_, tail, endFound := bytes.Cut(rest, end)
	if !beginFound || !endFound {
		return nil, false, fmt.Errorf("%s: no section %s", file, name)
	}
	next := bytes.Join([][]byte{head, begin, content, end, tail}, nil)
	return next, bytes.Equal(page, next), nil
}

// CheckSection returns an error if the section of the page differs from content. With update it rewrites the section instead.
func CheckSection(file, name string, content []byte, update bool) error {
	page, same, err := ReplaceSection(file, name, content)
	switch {
	case err != nil || same:
		return err
	case update:
		return os.WriteFile(file, page, 0o644)
	}
	return fmt.Errorf("%s differs from the code; run with -update", file)
}

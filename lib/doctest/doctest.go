// Package doctest compares a part of a page in docs with what the code says.
package doctest

import (
	"bytes"
	"fmt"
	"os"
)

// ReplaceSection replaces the part of a page between its begin and end marks by want. It returns the page as it should be,
// and whether it is so already.
func ReplaceSection(file, name string, want []byte) (page []byte, same bool, err error) {
	page, err = os.ReadFile(file)
	if err != nil {
		return nil, false, err
	}
	begin := fmt.Appendf(nil, "<!-- %s:begin -->\n", name)
	end := fmt.Appendf(nil, "<!-- %s:end -->", name)
	head, rest, ok := bytes.Cut(page, begin)
	_, tail, ok2 := bytes.Cut(rest, end)
	if !ok || !ok2 {
		return nil, false, fmt.Errorf("%s: no section %s", file, name)
	}
	next := bytes.Join([][]byte{head, begin, want, end, tail}, nil)
	return next, bytes.Equal(page, next), nil
}

// CheckSection holds a section of a page to want: it writes the section anew with update, and otherwise returns an error when
// the page differs.
func CheckSection(file, name string, want []byte, update bool) error {
	page, same, err := ReplaceSection(file, name, want)
	switch {
	case err != nil || same:
		return err
	case update:
		return os.WriteFile(file, page, 0o644)
	}
	return fmt.Errorf("%s differs from the code; run with -update", file)
}

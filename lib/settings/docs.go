package settings

import (
	"fmt"
	"io"
	"strings"
)

// docSection is one table of docs/SETTINGS.md.
type docSection struct {
	title   string
	summary string
	write   func(io.Writer)
}

func newSection[T any](title, about string, fields []field[T]) docSection {
	return docSection{title, about, func(w io.Writer) { writeKeys(w, fields) }}
}

var docSections = []docSection{
	newSection("`site`", "The site as a whole.", siteFields),
	newSection("`workspaces.NAME`", "A workspace: who sends requests.", workspaceFields),
	newSection("`services.NAME`", "A service. Beside these keys it holds `targets`, `routes` (kind plain), `policy`, `classes` and `workspaces`.", serviceFields),
	newSection("`services.NAME.targets.NAME`", "A target of the service.", targetFields),
	newSection("`services.NAME.routes[]`", "Paths that lead callers to a plain service.", routeFields),
	newSection("Policies", "Inherited values. They stand under `policy`, `classes.NAME`, `services.NAME.policy`, `services.NAME.classes.NAME`, "+
		"`services.NAME.workspaces.NAME.policy` and `services.NAME.workspaces.NAME.classes.NAME`.", policyFields),
}

// WriteKeys writes the tables of all keys, with unit, default and meaning, as contained in docs/SETTINGS.md.
func WriteKeys(w io.Writer) {
	for _, s := range docSections {
		fmt.Fprintf(w, "### %s\n\n%s\n\n", s.title, s.summary)
		s.write(w)
		fmt.Fprintln(w)
	}
}

func writeKeys[T any](w io.Writer, fields []field[T]) {
	fmt.Fprintln(w, "| key | unit | default | meaning |")
	fmt.Fprintln(w, "| --- | --- | --- | --- |")
	for _, f := range fields {
		fmt.Fprintf(w, "| `%s` | %s | %s | %s |\n", f.key, escapeCell(f.unit), defaultCell(f.def, f.required), escapeCell(f.doc))
	}
}

func defaultCell(def string, required bool) string {
	switch {
	case required:
		return "required"
	case def == "":
		return "empty"
	}
	return "`" + def + "`"
}

func escapeCell(s string) string { return strings.ReplaceAll(s, "|", `\|`) }

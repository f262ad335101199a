package settings

import (
	"fmt"
	"io"
	"strings"
)

// docSection is one table of docs/SETTINGS.md.
type docSection struct {
	title string
	about string
	write func(io.Writer)
}

func section[T any](title, about string, fields []field[T]) docSection {
	return docSection{title, about, func(w io.Writer) { writeKeys(w, fields) }}
}

var docSections = []docSection{
	section("`site`", "The site as a whole.", siteFields),
	section("`workspaces.NAME`", "A workspace: who sends requests.", workspaceFields),
	section("`services.NAME`", "A service. Beside these keys it holds `targets`, `routes` (kind plain), `policy`, `classes` and `workspaces`.", serviceFields),
	section("`services.NAME.targets.NAME`", "A target of the service.", targetFields),
	section("`services.NAME.routes[]`", "Paths that lead callers to a plain service.", routeFields),
	section("Policies", "Inherited values. They stand under `policy`, `classes.NAME`, `services.NAME.policy`, `services.NAME.classes.NAME`, "+
		"`services.NAME.workspaces.NAME.policy` and `services.NAME.workspaces.NAME.classes.NAME`.", policyFields),
}

// WriteKeys writes the table of every key, with unit, default and meaning, as docs/SETTINGS.md holds it.
func WriteKeys(w io.Writer) {
	for _, s := range docSections {
		fmt.Fprintf(w, "### %s\n\n%s\n\n", s.title, s.about)
		s.write(w)
		fmt.Fprintln(w)
	}
}

func writeKeys[T any](w io.Writer, fields []field[T]) {
	fmt.Fprintln(w, "| key | unit | default | meaning |")
	fmt.Fprintln(w, "| --- | --- | --- | --- |")
	for _, f := range fields {
		fmt.Fprintf(w, "| `%s` | %s | %s | %s |\n", f.key, escapeCell(f.unit), defaultCell(f.def, f.must), escapeCell(f.doc))
	}
}

func defaultCell(def string, must bool) string {
	switch {
	case must:
		return "required"
	case def == "":
		return "empty"
	}
	return "`" + def + "`"
}

func escapeCell(s string) string { return strings.ReplaceAll(s, "|", `\|`) }

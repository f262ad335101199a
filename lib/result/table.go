package result

import (
	"fmt"
	"io"
)

// WriteTable writes Table in the format of docs/RESULT-CODES.md.
func WriteTable(w io.Writer) error {
	_, err := fmt.Fprint(w, "| code | name | HTTP | outcome | ask again | meaning |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, in := range Table {
		if err == nil {
			_, err = fmt.Fprintf(w, "| %d | `%s` | %d | %s | %s | %s |\n", in.Code, in.Name, in.HTTP, in.Outcome, in.RetryAdvice, in.Text)
		}
	}
	return err
}

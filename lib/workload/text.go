package workload

import (
	"fmt"
	"strings"

	"anvilwick.example/anvilwick/lib/engineapi"
)

// Text builds the prompt of r: the shared template of its workspace and class, then text of its own, then the mark that
// tells a stand-in engine the length of its answer. engineapi.CountTokens of the text is r.Prompt.
func (r *Request) Text() string {
	var b strings.Builder
	fill(&b, r.Class.Template, fmt.Sprintf("%s/%s ", r.Workspace, r.Class.Name))
	mark := fmt.Sprintf("[len=%d]", r.Length)
	own := r.Prompt*engineapi.BytesPerToken - len(mark)
	var tail strings.Builder
	fill(&tail, own/engineapi.BytesPerToken+1, fmt.Sprintf("request %d ", r.Index))
	b.WriteString(tail.String()[:max(0, own-b.Len())])
	b.WriteString(mark)
	return b.String()
}

// fill writes a repeated phrase, cut to exactly the given number of tokens.
func fill(b *strings.Builder, tokens int, phrase string) {
	n := tokens * engineapi.BytesPerToken
	text := strings.Repeat(phrase, n/len(phrase)+1)
	b.WriteString(text[:n])
}

package ctl

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"
)

// table writes rows with aligned columns.
type table struct{ w *tabwriter.Writer }

// columnPadding is the number of spaces between columns.
const columnPadding = 2

func (t *table) row(cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			fmt.Fprint(t.w, "\t")
		}
		fmt.Fprint(t.w, cell)
	}
	fmt.Fprintln(t.w)
}

// print writes value as JSON, or the table whose rows fill adds, as --output says.
func (a *app) print(value any, fill func(*table)) error {
	if a.output == "json" {
		encoder := json.NewEncoder(a.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	t := &table{w: tabwriter.NewWriter(a.out, 0, 0, columnPadding, ' ', 0)}
	fill(t)
	return t.w.Flush()
}

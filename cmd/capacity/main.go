// Command capacity runs the measurements of package capacity and rewrites the tables and plots of the
// capacity page.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/capacity"
)

func main() {
	page := flag.String("page", "docs/CAPACITY.md", "page whose tables are rewritten")
	plots := flag.String("plots", "docs/plots", "folder of the plots")
	flag.Parse()
	if err := run(*page, *plots); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(page, plots string) error {
	text, err := os.ReadFile(page)
	if err != nil {
		return errors.Wrap(err, "read the page")
	}
	report, err := capacity.Run(capacity.PageSizes(), func(name string) { fmt.Println("measuring", name) })
	if err != nil {
		return err
	}
	updated, err := report.Update(string(text))
	if err != nil {
		return err
	}
	if err := os.MkdirAll(plots, 0o755); err != nil {
		return errors.Wrap(err, "create the folder of the plots")
	}
	for i := range report.Series {
		if err := capacity.Draw(plots, &report.Series[i]); err != nil {
			return err
		}
	}
	return errors.Wrap(os.WriteFile(page, []byte(updated), 0o644), "write the page")
}

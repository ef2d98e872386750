package capacity

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/olekukonko/tablewriter"
	"github.com/olekukonko/tablewriter/renderer"
	"github.com/olekukonko/tablewriter/tw"
)

// seriesTables and figureTables are the marked parts of the page.
var (
	seriesTables = []string{balancerTable, agentTable, leaderTable, followerTable, worstTable}
	figureTables = []string{budgetTable, worstHours}
)

// Update rewrites the tables of the page.
func (r *Measurements) Update(page string) (string, error) {
	parts := map[string]string{"run": r.conditions()}
	var err error
	for _, name := range seriesTables {
		if parts[name], err = r.seriesTable(name); err != nil {
			return "", err
		}
	}
	for _, name := range figureTables {
		if parts[name], err = r.figureTable(name); err != nil {
			return "", err
		}
	}
	for name, content := range parts {
		if page, err = Rewrite(page, name, content); err != nil {
			return "", err
		}
	}
	return page, nil
}

func (r *Measurements) conditions() string {
	return fmt.Sprintf("Run of %s: %.0f s on a machine with %d processors that other work shared. Load average (1, 5, 15 minutes) before: %s; after: %s. "+
		"Largest resident memory of the run: %.0f MB.",
		r.Date.UTC().Format("2006-01-02 15:04 MST"), r.Elapsed.Seconds(), r.Processors, r.LoadBefore, r.LoadAfter, r.Memory)
}

func (r *Measurements) seriesTable(name string) (string, error) {
	rows := [][]string{}
	for i := range r.Series {
		if s := &r.Series[i]; s.Table == name {
			rows = append(rows, seriesRow(s))
		}
	}
	header := []string{"quantity", "measured (size: value)", "line", "residual", "growth", "at the target size", "limit", "carried by"}
	return markdown(header, rows)
}

func seriesRow(s *Series) []string {
	line := Fit(s.Points)
	var measured []string
	for _, p := range s.Points {
		measured = append(measured, number(p.X)+": "+number(p.Y))
	}
	return []string{
		fmt.Sprintf("[%s](plots/%s.png), %s", s.Title, s.ID, s.Unit),
		s.XLabel + ": " + strings.Join(measured, "; "),
		fmt.Sprintf("%s + %s x", number(line.Intercept), number(line.Slope)),
		percent(line.Residual),
		growth(s),
		atTarget(s, line),
		limit(s.Worst(), s.Limit),
		fmt.Sprintf("%s (`%s`)", s.Mechanism, s.File),
	}
}

// growth returns the power of the size that a quantity grows with.
func growth(s *Series) string {
	exponent, ok := s.Exponent()
	if !ok {
		return "-"
	}
	return "x^" + strconv.FormatFloat(exponent, 'f', 1, 64)
}

// atTarget returns the extrapolation, and what was measured at the target size if that was done.
func atTarget(s *Series, line Line) string {
	text := fmt.Sprintf("%s at %s", number(line.At(s.At)), number(s.At))
	if measured, ok := s.Measured(); ok {
		text += ", measured " + number(measured)
	}
	return text
}

func (r *Measurements) figureTable(name string) (string, error) {
	rows := [][]string{}
	for _, f := range r.Figures() {
		if f.Table != name {
			continue
		}
		row := []string{f.Name, number(f.Value) + " " + f.Unit, limit(f.Value, f.Limit), f.From}
		if f.Role != "" {
			row[0] = f.Role + ": " + row[0]
		}
		rows = append(rows, row)
	}
	return markdown([]string{"figure", "at the target size", "limit", "from"}, rows)
}

// limit compares a value with its limit.
func limit(value, limit float64) string {
	switch {
	case limit == 0:
		return "-"
	case value > limit:
		return number(limit) + ", **exceeded**"
	}
	return number(limit) + ", kept"
}

// number prints a value with three significant digits.
func number(v float64) string {
	if math.Abs(v) >= 100 {
		return grouped(v)
	}
	return strconv.FormatFloat(rounded(v), 'f', -1, 64)
}

func rounded(v float64) float64 {
	short, err := strconv.ParseFloat(strconv.FormatFloat(v, 'g', 3, 64), 64)
	if err != nil {
		return v
	}
	return short
}

// grouped prints a whole number with commas between groups of three digits.
func grouped(v float64) string {
	digits := strconv.FormatFloat(math.Abs(math.Round(v)), 'f', 0, 64)
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	if v < 0 {
		return "-" + digits
	}
	return digits
}

func percent(share float64) string { return strconv.FormatFloat(share*100, 'f', 1, 64) + " %" }

func markdown(header []string, rows [][]string) (string, error) {
	var out bytes.Buffer
	table := tablewriter.NewTable(&out, tablewriter.WithRenderer(renderer.NewMarkdown()), tablewriter.WithHeaderAutoFormat(tw.Off))
	table.Header(header)
	if err := table.Bulk(rows); err != nil {
		return "", err
	}
	err := table.Render()
	return out.String(), err
}

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

// Names of the generated tables of the page, each between its own markers.
var (
	seriesTables = []string{balancerTable, agentTable, leaderTable, followerTable, worstTable}
	figureTables = []string{budgetTable, worstHoursTable}
)

// Update replaces the run conditions and the tables of the page.
func (r *Measurements) Update(page string) (string, error) {
	parts := map[string]string{"run": r.runConditions()}
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
		if page, err = ReplaceBetweenMarkers(page, name, content); err != nil {
			return "", err
		}
	}
	return page, nil
}

func (r *Measurements) runConditions() string {
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
	return markdownTable(header, rows)
}

func seriesRow(s *Series) []string {
	line := Fit(s.Points)
	var measured []string
	for _, p := range s.Points {
		measured = append(measured, formatNumber(p.X)+": "+formatNumber(p.Y))
	}
	return []string{
		fmt.Sprintf("[%s](plots/%s.png), %s", s.Title, s.ID, s.Unit),
		s.XLabel + ": " + strings.Join(measured, "; "),
		fmt.Sprintf("%s + %s x", formatNumber(line.Intercept), formatNumber(line.Slope)),
		formatPercent(line.Residual),
		growthPower(s),
		valueAtDesignSize(s, line),
		compareLimit(s.MaxToDesignSize(), s.Limit),
		fmt.Sprintf("%s (`%s`)", s.Mechanism, s.File),
	}
}

// growthPower returns the power of the size with which a quantity grows.
func growthPower(s *Series) string {
	exponent, ok := s.Exponent()
	if !ok {
		return "-"
	}
	return "x^" + strconv.FormatFloat(exponent, 'f', 1, 64)
}

// valueAtDesignSize returns the extrapolated value and, if there is one, the value measured at the design size.
func valueAtDesignSize(s *Series, line Line) string {
	text := fmt.Sprintf("%s at %s", formatNumber(line.At(s.At)), formatNumber(s.At))
	if measured, ok := s.MeasuredAtDesignSize(); ok {
		text += ", measured " + formatNumber(measured)
	}
	return text
}

func (r *Measurements) figureTable(name string) (string, error) {
	rows := [][]string{}
	for _, f := range r.Figures() {
		if f.Table != name {
			continue
		}
		row := []string{f.Name, formatNumber(f.Value) + " " + f.Unit, compareLimit(f.Value, f.Limit), f.From}
		if f.Role != "" {
			row[0] = f.Role + ": " + row[0]
		}
		rows = append(rows, row)
	}
	return markdownTable([]string{"figure", "at the target size", "limit", "from"}, rows)
}

// compareLimit returns the limit of a value and whether the value exceeds it; a limit of zero means none.
func compareLimit(value, limit float64) string {
	switch {
	case limit == 0:
		return "-"
	case value > limit:
		return formatNumber(limit) + ", **exceeded**"
	}
	return formatNumber(limit) + ", kept"
}

// formatNumber formats a value with three significant digits, or as a whole number from 100 up.
func formatNumber(v float64) string {
	if math.Abs(v) >= 100 {
		return groupDigits(v)
	}
	return strconv.FormatFloat(roundSignificant(v), 'f', -1, 64)
}

func roundSignificant(v float64) float64 {
	short, err := strconv.ParseFloat(strconv.FormatFloat(v, 'g', 3, 64), 64)
	if err != nil {
		return v
	}
	return short
}

// groupDigits formats a value as a whole number with commas between groups of three digits.
func groupDigits(v float64) string {
	digits := strconv.FormatFloat(math.Abs(math.Round(v)), 'f', 0, 64)
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	if v < 0 {
		return "-" + digits
	}
	return digits
}

func formatPercent(share float64) string { return strconv.FormatFloat(share*100, 'f', 1, 64) + " %" }

func markdownTable(header []string, rows [][]string) (string, error) {
	var out bytes.Buffer
	table := tablewriter.NewTable(&out, tablewriter.WithRenderer(renderer.NewMarkdown()), tablewriter.WithHeaderAutoFormat(tw.Off))
	table.Header(header)
	if err := table.Bulk(rows); err != nil {
		return "", err
	}
	err := table.Render()
	return out.String(), err
}

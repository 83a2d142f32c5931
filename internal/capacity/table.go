package capacity

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// The tables of the page.
const (
	SlopesTable TableName = "slopes"
	RolesTable  TableName = "roles"
	RunTable    TableName = "run"
)

// Run says on what machine and when the slopes were measured.
type Run struct {
	Machine string
	Date    string
	Seconds float64
}

// Tables renders a run as the tables of the page.
func Tables(run Run, slopes []Slope, rows []Row) []Table {
	return []Table{
		{Name: RunTable, Text: runText(run)},
		{Name: SlopesTable, Text: slopesText(slopes)},
		{Name: RolesTable, Text: rolesText(rows)},
	}
}

func runText(r Run) string {
	return fmt.Sprintf("Run on %s, %s, in %.0f s.\n", r.Machine, r.Date, r.Seconds)
}

func slopesText(slopes []Slope) string {
	var b strings.Builder
	b.WriteString("| slope | what | measured, size: value | intercept | slope | residual |\n|:--|:--|:--|--:|--:|--:|\n")
	for _, s := range slopes {
		fmt.Fprintf(&b, "| %s | %s | %s | %s %s | %s %s a %s | %s |\n", s.ID, s.What, samplesText(s.Samples),
			figure(s.Line.Intercept), s.Unit, figure(s.Line.Slope), s.Unit, s.Size, figure(s.Line.Residual))
	}
	return b.String()
}

func samplesText(samples []Sample) string {
	var out []string
	for _, s := range samples {
		out = append(out, figure(s.Size)+": "+figure(s.Value))
	}
	return strings.Join(out, "; ")
}

func rolesText(rows []Row) string {
	var b strings.Builder
	b.WriteString("| role | what | figure | limit | headroom |\n|:--|:--|--:|--:|--:|\n")
	for _, r := range rows {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", r.Role, r.What, withUnit(r.Value, r.Unit), limitText(r), r.Headroom())
	}
	return b.String()
}

func withUnit(v float64, u Unit) string { return strings.TrimSpace(figure(v) + " " + string(u)) }

func limitText(r Row) string {
	if r.Limit == 0 {
		return "none"
	}
	return withUnit(r.Limit, r.Unit)
}

// Headroom says how often the figure fits into its limit, or that it breaks it and how far.
func (r Row) Headroom() string {
	switch {
	case r.Limit == 0:
		return ""
	case r.Value > r.Limit:
		return "**broken, " + figure(r.Value/r.Limit) + " times over**"
	}
	return figure(r.Limit/r.Value) + " times"
}

// figure writes a number with three significant digits and commas between thousands.
func figure(v float64) string {
	if v == 0 || math.IsInf(v, 0) || math.IsNaN(v) {
		return strconv.FormatFloat(v, 'g', -1, 64)
	}
	digits := max(0, 2-int(math.Floor(math.Log10(math.Abs(v)))))
	if math.Abs(v) >= 1000 {
		return commas(strconv.FormatFloat(v, 'f', 0, 64))
	}
	text := strconv.FormatFloat(v, 'f', min(digits, 6), 64)
	if strings.Contains(text, ".") {
		text = strings.TrimRight(strings.TrimRight(text, "0"), ".")
	}
	return text
}

func commas(text string) string {
	sign := ""
	if strings.HasPrefix(text, "-") {
		sign, text = "-", text[1:]
	}
	for i := len(text) - 3; i > 0; i -= 3 {
		text = text[:i] + "," + text[i:]
	}
	return sign + text
}

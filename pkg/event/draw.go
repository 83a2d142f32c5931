package event

import (
	"fmt"
	"html"
	"io"
	"slices"
	"strings"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Sizes in a drawing, in pixels.
const (
	marginLeft     = 130
	marginRight    = 260
	marginTop      = 60
	laneHeight     = 150
	labelRowHeight = 14
	// labelRows is the number of rows of labels above a lane.
	labelRows  = 8
	axisHeight = 30
	// minPlotWidth is the minimum width of the lanes.
	minPlotWidth = 1100
	// minMarkWidth is the minimum width of the lanes per event.
	minMarkWidth = 24
)

const (
	// maxScaledPause is the longest pause between two events that is drawn to scale.
	maxScaledPause clock.Millis = 200
	// pausePerEvent is the pause that is as wide in the drawing as one event.
	pausePerEvent clock.Millis = 20
	// axisTicks is the approximate number of times written below the lanes, not counting the last one.
	axisTicks = 10
)

// MaxMarks is the maximum number of events that Draw accepts.
const MaxMarks = 500

// ErrTooManyMarks means that a drawing has more than MaxMarks events and would not be legible.
var ErrTooManyMarks = fmt.Errorf("more than %d events", MaxMarks)

// drawing is an SVG document in progress, with one lane per daemon.
type drawing struct {
	events []Event
	lanes  []string
	// offsets holds the distance of each event from the first, where the minimum distance of two events is 1.
	offsets []float64
	width   int
	b       strings.Builder
}

// Draw writes merged events as SVG, with one lane per daemon, time to the right and long pauses shortened.
//
// It fails with ErrTooManyMarks if there are more than MaxMarks events, or with the error of w.
func Draw(w io.Writer, title string, merged []Event) error {
	if len(merged) > MaxMarks {
		return fmt.Errorf("draw %d events: %w", len(merged), ErrTooManyMarks)
	}
	d := newDrawing(merged)
	d.writeHeader(title)
	d.drawGaps()
	d.drawAxis()
	for i, name := range d.lanes {
		d.drawLane(i, name)
	}
	d.b.WriteString("</svg>\n")
	if _, err := io.WriteString(w, d.b.String()); err != nil {
		return fmt.Errorf("write drawing: %w", err)
	}
	return nil
}

func newDrawing(merged []Event) *drawing {
	d := &drawing{events: merged}
	for i := range merged {
		d.lanes = append(d.lanes, merged[i].At.Daemon)
	}
	slices.Sort(d.lanes)
	d.lanes = slices.Compact(d.lanes)
	d.width = max(minPlotWidth, minMarkWidth*len(merged))
	offset := 0.0
	for i := range merged {
		if i > 0 {
			pause := min(merged[i].At.Millis-merged[i-1].At.Millis, maxScaledPause)
			offset += 1 + float64(pause)/float64(pausePerEvent)
		}
		d.offsets = append(d.offsets, offset)
	}
	return d
}

func (d *drawing) height() int { return marginTop + len(d.lanes)*laneHeight + axisHeight }

func (d *drawing) writeHeader(title string) {
	fmt.Fprintf(&d.b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n", marginLeft+d.width+marginRight, d.height())
	fmt.Fprintf(&d.b, `<rect width="%d" height="%d" fill="white"/>`+"\n", marginLeft+d.width+marginRight, d.height())
	d.drawText(10, 20, 15, title)
	if len(d.events) > 0 {
		d.drawText(10, 40, 11, fmt.Sprintf("from %s, one lane per daemon, pauses over %d ms shortened", formatTime(d.events[0].At.Millis), maxScaledPause))
	}
}

func (d *drawing) drawText(x, y, size int, s string) {
	fmt.Fprintf(&d.b, `<text x="%d" y="%d" font-size="%d">%s</text>`+"\n", x, y, size, html.EscapeString(s))
}

// x returns the horizontal position of event i, in pixels.
func (d *drawing) x(i int) int {
	total := max(d.offsets[len(d.offsets)-1], 1)
	return marginLeft + int(d.offsets[i]/total*float64(d.width))
}

// index returns the index of the event with stamp s.
func (d *drawing) index(s Stamp) int {
	return slices.IndexFunc(d.events, func(e Event) bool { return e.At == s })
}

// drawGaps shades and labels the time of each gap.
func (d *drawing) drawGaps() {
	for _, g := range Gaps(d.events) {
		x, end := d.x(d.index(g.Began)), d.x(d.index(g.FirstWrite))
		fmt.Fprintf(&d.b, `<rect class="gap" x="%d" y="%d" width="%d" height="%d" fill="#fde8e8"/>`+"\n", x, marginTop, end-x, len(d.lanes)*laneHeight)
		d.drawText(x, marginTop-4, 11, fmt.Sprintf("%s without writes for %d ms", g.Group, g.Length))
	}
}

func (d *drawing) drawAxis() {
	y := marginTop + len(d.lanes)*laneHeight + axisHeight/2
	step := max(len(d.events)/axisTicks, 1)
	for i := 0; i < len(d.events); i += step {
		x := d.x(i)
		fmt.Fprintf(&d.b, `<line x1="%d" y1="%d" x2="%d" y2="%d" stroke="#eee"/>`+"\n", x, marginTop, x, y-12)
		d.drawText(x, y, 10, fmt.Sprintf("+%d ms", d.events[i].At.Millis-d.events[0].At.Millis))
	}
}

func (d *drawing) drawLane(i int, name string) {
	y := marginTop + (i+1)*laneHeight - 15
	d.drawText(10, y+4, 13, name)
	fmt.Fprintf(&d.b, `<line x1="%d" y1="%d" x2="%d" y2="%d" stroke="#888"/>`+"\n", marginLeft, y, marginLeft+d.width, y)
	row := 0
	for j := range d.events {
		if d.events[j].At.Daemon == name {
			d.drawMark(j, y, row)
			row = (row + 1) % labelRows
		}
	}
}

// drawMark draws an event with its label. Labels of neighbouring events are in different rows, so that they do not overlap.
func (d *drawing) drawMark(i, y, row int) {
	e := &d.events[i]
	x, labelY := d.x(i), y-10-row*labelRowHeight
	fmt.Fprintf(&d.b, `<line x1="%d" y1="%d" x2="%d" y2="%d" stroke="#ccc"/>`+"\n", x, y, x, labelY)
	fmt.Fprintf(&d.b, `<circle class="mark" cx="%d" cy="%d" r="4" fill="%s"><title>%s</title></circle>`+"\n", x, y, colour(e.Kind), html.EscapeString(e.String()))
	d.drawText(x+3, labelY, 11, label(e))
}

func label(e *Event) string {
	parts := []string{string(e.Kind)}
	if e.Target != "" {
		parts = append(parts, e.Target)
	}
	if e.Term != 0 {
		parts = append(parts, fmt.Sprintf("term %d", e.Term))
	}
	return strings.Join(parts, " ")
}

func colour(k Kind) string {
	switch k {
	case Suspected, Confirmed, PeerLost, ChangeAbandoned, Refused, UnknownOutcome:
		return "#c0392b"
	case Promoted, FirstWrite, ChangeEnded:
		return "#27803b"
	case Started, Draining, Stopped:
		return "#555"
	}
	return "#2a5db0"
}

package event

import (
	"fmt"
	"html"
	"io"
	"slices"
	"strings"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// The sizes of a drawing, in pixels.
const (
	drawLeft   = 130
	drawRight  = 260
	drawTop    = 60
	laneHeight = 150
	labelStep  = 14
	labelRows  = 8
	axisHeight = 30
	plotWidth  = 1100 // at least
	markWidth  = 24   // at least, for each event
)

const (
	// fullPause is the longest pause between two events that is drawn to scale, in milliseconds.
	fullPause clock.Millis = 200
	// pauseScale is how many milliseconds of pause take as much room as an event.
	pauseScale clock.Millis = 20
	// ticks is the number of instants written below the lanes, besides the last.
	ticks = 10
)

// MaxMarks is the most events that Draw takes.
const MaxMarks = 500

// ErrTooManyMarks means that a drawing would not be legible.
var ErrTooManyMarks = fmt.Errorf("more than %d events", MaxMarks)

// drawing places events on one lane a daemon.
type drawing struct {
	events []Event
	lanes  []string
	// room is how far each event stands from the first.
	room  []float64
	width int
	b     strings.Builder
}

// Draw writes merged events as SVG, one lane a daemon with time to the right and long pauses shortened; it fails with ErrTooManyMarks.
func Draw(w io.Writer, title string, merged []Event) error {
	if len(merged) > MaxMarks {
		return fmt.Errorf("draw %d events: %w", len(merged), ErrTooManyMarks)
	}
	d := newDrawing(merged)
	d.open(title)
	d.gaps()
	d.axis()
	for i, name := range d.lanes {
		d.lane(i, name)
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
	d.width = max(plotWidth, markWidth*len(merged))
	far := 0.0
	for i := range merged {
		if i > 0 {
			pause := min(merged[i].At.Millis-merged[i-1].At.Millis, fullPause)
			far += 1 + float64(pause)/float64(pauseScale)
		}
		d.room = append(d.room, far)
	}
	return d
}

func (d *drawing) height() int { return drawTop + len(d.lanes)*laneHeight + axisHeight }

func (d *drawing) open(title string) {
	fmt.Fprintf(&d.b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n", drawLeft+d.width+drawRight, d.height())
	fmt.Fprintf(&d.b, `<rect width="%d" height="%d" fill="white"/>`+"\n", drawLeft+d.width+drawRight, d.height())
	d.text(10, 20, 15, title)
	if len(d.events) > 0 {
		d.text(10, 40, 11, fmt.Sprintf("from %s, one lane a daemon, pauses over %d ms shortened", timeText(d.events[0].At.Millis), fullPause))
	}
}

func (d *drawing) text(x, y, size int, s string) {
	fmt.Fprintf(&d.b, `<text x="%d" y="%d" font-size="%d">%s</text>`+"\n", x, y, size, html.EscapeString(s))
}

// x is where event i stands.
func (d *drawing) x(i int) int {
	all := max(d.room[len(d.room)-1], 1)
	return drawLeft + int(d.room[i]/all*float64(d.width))
}

// at is the event with that stamp.
func (d *drawing) at(s Stamp) int {
	return slices.IndexFunc(d.events, func(e Event) bool { return e.At == s })
}

// gaps shades the time of each gap.
func (d *drawing) gaps() {
	for _, g := range Gaps(d.events) {
		x, end := d.x(d.at(g.Began)), d.x(d.at(g.FirstWrite))
		fmt.Fprintf(&d.b, `<rect class="gap" x="%d" y="%d" width="%d" height="%d" fill="#fde8e8"/>`+"\n", x, drawTop, end-x, len(d.lanes)*laneHeight)
		d.text(x, drawTop-4, 11, fmt.Sprintf("%s without writes for %d ms", g.Group, g.Length))
	}
}

func (d *drawing) axis() {
	y := drawTop + len(d.lanes)*laneHeight + axisHeight/2
	step := max(len(d.events)/ticks, 1)
	for i := 0; i < len(d.events); i += step {
		x := d.x(i)
		fmt.Fprintf(&d.b, `<line x1="%d" y1="%d" x2="%d" y2="%d" stroke="#eee"/>`+"\n", x, drawTop, x, y-12)
		d.text(x, y, 10, fmt.Sprintf("+%d ms", d.events[i].At.Millis-d.events[0].At.Millis))
	}
}

func (d *drawing) lane(i int, name string) {
	y := drawTop + (i+1)*laneHeight - 15
	d.text(10, y+4, 13, name)
	fmt.Fprintf(&d.b, `<line x1="%d" y1="%d" x2="%d" y2="%d" stroke="#888"/>`+"\n", drawLeft, y, drawLeft+d.width, y)
	row := 0
	for j := range d.events {
		if d.events[j].At.Daemon == name {
			d.mark(j, y, row)
			row = (row + 1) % labelRows
		}
	}
}

// mark draws an event with its label; rows keep neighbours' labels apart.
func (d *drawing) mark(i, y, row int) {
	e := &d.events[i]
	x, up := d.x(i), y-10-row*labelStep
	fmt.Fprintf(&d.b, `<line x1="%d" y1="%d" x2="%d" y2="%d" stroke="#ccc"/>`+"\n", x, y, x, up)
	fmt.Fprintf(&d.b, `<circle class="mark" cx="%d" cy="%d" r="4" fill="%s"><title>%s</title></circle>`+"\n", x, y, colour(e.Kind), html.EscapeString(e.String()))
	d.text(x+3, up, 11, label(e))
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
	case Suspected, Confirmed, PeerLost, ChangeLeft, Refused, UnknownOutcome:
		return "#c0392b"
	case Promoted, FirstWrite, ChangeEnded:
		return "#27803b"
	case Started, Draining, Stopped:
		return "#555"
	}
	return "#2a5db0"
}

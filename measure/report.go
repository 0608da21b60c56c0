package measure

import (
	"fmt"
	"io"
)

type (
	// Report is the lines of one measure.
	Report struct {
		lines []line
	}

	line struct {
		name  string
		value float64
		unit  string
		bound string
		fell  bool
	}
)

// Note adds a figure without a bound.
func (r *Report) Note(name string, value float64, unit string) {
	r.lines = append(r.lines, line{name: name, value: value, unit: unit})
}

// AtMost adds a figure that must not exceed bound.
func (r *Report) AtMost(name string, value float64, unit string, bound float64) {
	r.lines = append(r.lines, line{name: name, value: value, unit: unit, bound: fmt.Sprintf("at most %g", bound), fell: value > bound})
}

// AtLeast adds a figure that must not fall below bound.
func (r *Report) AtLeast(name string, value float64, unit string, bound float64) {
	r.lines = append(r.lines, line{name: name, value: value, unit: unit, bound: fmt.Sprintf("at least %g", bound), fell: value < bound})
}

// Aim adds a figure that should not exceed aim; missing it is shown, but is no
// failure.
func (r *Report) Aim(name string, value float64, unit string, aim float64) {
	text := fmt.Sprintf("aim %g", aim)
	if value > aim {
		text += ", missed"
	}
	r.lines = append(r.lines, line{name: name, value: value, unit: unit, bound: text})
}

// Fell lists the figures that are out of their bounds.
func (r *Report) Fell() []string {
	var fell []string
	for _, l := range r.lines {
		if l.fell {
			fell = append(fell, l.String())
		}
	}
	return fell
}

// Print writes a line for each figure: name, value, unit, and bound if any.
func (r *Report) Print(w io.Writer) {
	for _, l := range r.lines {
		fmt.Fprintln(w, l)
	}
}

// String is the line as printed.
func (l line) String() string {
	text := fmt.Sprintf("%s %.4g %s", l.name, l.value, l.unit)
	if l.bound != "" {
		text += " (" + l.bound + ")"
	}
	if l.fell {
		text += " FELL"
	}
	return text
}

package measure

import (
	"fmt"
	"io"
)

type (
	// Report holds the figures of one measure.
	Report struct {
		figures []figure
	}

	figure struct {
		name        string
		value       float64
		unit        string
		bound       string
		outOfBounds bool
	}
)

// Note adds a figure without a bound.
func (r *Report) Note(name string, value float64, unit string) {
	r.figures = append(r.figures, figure{name: name, value: value, unit: unit})
}

// AtMost adds a figure that is out of bounds if it exceeds bound.
func (r *Report) AtMost(name string, value float64, unit string, bound float64) {
	r.figures = append(r.figures, figure{name: name, value: value, unit: unit, bound: fmt.Sprintf("at most %g", bound), outOfBounds: value > bound})
}

// AtLeast adds a figure that is out of bounds if it is below bound.
func (r *Report) AtLeast(name string, value float64, unit string, bound float64) {
	r.figures = append(r.figures, figure{name: name, value: value, unit: unit, bound: fmt.Sprintf("at least %g", bound), outOfBounds: value < bound})
}

// Target adds a figure that should not exceed target. The report shows a missed target, but
// does not count it as out of bounds.
func (r *Report) Target(name string, value float64, unit string, target float64) {
	text := fmt.Sprintf("aim %g", target)
	if value > target {
		text += ", missed"
	}
	r.figures = append(r.figures, figure{name: name, value: value, unit: unit, bound: text})
}

// OutOfBounds returns the figures that are out of their bounds, as Print writes them.
func (r *Report) OutOfBounds() []string {
	var failures []string
	for _, f := range r.figures {
		if f.outOfBounds {
			failures = append(failures, f.String())
		}
	}
	return failures
}

// Print writes a line for each figure: its name, value and unit, its bound if there is one,
// and FELL if it is out of bounds.
func (r *Report) Print(w io.Writer) {
	for _, f := range r.figures {
		fmt.Fprintln(w, f)
	}
}

// String returns the figure as Print writes it.
func (f figure) String() string {
	text := fmt.Sprintf("%s %.4g %s", f.name, f.value, f.unit)
	if f.bound != "" {
		text += " (" + f.bound + ")"
	}
	if f.outOfBounds {
		text += " FELL"
	}
	return text
}

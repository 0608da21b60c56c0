// Package inifile reads INI files into schema messages and writes such messages as INI files. It
// also writes the reference of their keys. A key has the type of the field of the same name. Its
// default and its checks come from the field's KeyRule.
package inifile

import (
	"fmt"
	"strings"
)

type (
	// Problem describes one error in a file and where it is.
	Problem struct {
		File    string
		Line    int
		Section string
		Key     string
		Detail  string
	}

	// ProblemsError holds all problems that were found, in the order of the files.
	ProblemsError struct {
		Problems []Problem
	}
)

// String returns the file, line, section and key, followed by the description.
func (p Problem) String() string {
	place := fmt.Sprintf("%s:%d:", p.File, p.Line)
	if p.Section != "" {
		place += " [" + p.Section + "]"
	}
	if p.Key != "" {
		place += " " + p.Key + ":"
	}
	return place + " " + p.Detail
}

// Error lists the problems, one per line.
func (e ProblemsError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, problem := range e.Problems {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// AsError returns the problems as an error, or nil when there are none.
func AsError(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	return ProblemsError{Problems: problems}
}

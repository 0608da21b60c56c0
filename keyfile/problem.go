// Package keyfile reads INI files into schema messages. Each key's type,
// default and check come from the message's KeyRules.
package keyfile

import (
	"fmt"
	"strings"
)

type (
	// Problem is one thing wrong with a file.
	Problem struct {
		File    string
		Line    int
		Section string
		Key     string
		Detail  string
	}

	// ProblemsError holds all problems found, in the order of the files.
	ProblemsError struct {
		Problems []Problem
	}
)

// String names file, line, section and key, and says what is wrong.
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

// Error lists the problems, one a line.
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

package version

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// maxProblems bounds the number of problems in an InvalidError.
const maxProblems = 100

// Problem is one error in a template, an organisation or a change, or a conflict
// between them.
type Problem struct {
	// File is the name of the file.
	File string `json:"file"`
	// Line is the line in the file, counted from 1.
	Line int `json:"line"`
	// Column is the column in the line, counted from 1.
	Column int `json:"column"`
	// Path is the path of the value in the document, such as
	// "$.body.services[0].name".
	Path string `json:"path"`
	// Message describes the error.
	Message string `json:"message"`
}

// String returns the problem as "file:line:column: path: message".
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s", p.File, p.Line, p.Column, p.Path, p.Message)
}

// InvalidError is the error for a configuration that is not valid.
type InvalidError struct {
	// Problems lists 1 to 100 problems without duplicates, sorted by file, line
	// and column. Further problems are left out.
	Problems []Problem
}

// Error returns all problems, one per line.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, problem := range e.Problems {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// problems collects problems while a configuration is checked.
type problems struct {
	// list holds the first maxProblems problems.
	list []Problem
	// count is the number of all problems, also of those left out of list.
	count int
}

// addf adds a problem at a position, with a formatted message.
func (p *problems) addf(pos position, format string, args ...any) {
	p.count++
	if len(p.list) >= maxProblems {
		return
	}
	message := fmt.Sprintf(format, args...)
	if pos.origin != "" {
		message += " (from " + pos.origin + ")"
	}
	p.list = append(p.list, Problem{
		File:    pos.file,
		Line:    pos.line,
		Column:  pos.column,
		Path:    pos.path,
		Message: message,
	})
}

// err returns an *InvalidError with the problems, or nil if there are none.
func (p *problems) err() error {
	if len(p.list) == 0 {
		return nil
	}
	slices.SortFunc(p.list, compareProblems)
	return &InvalidError{Problems: slices.Compact(p.list)}
}

func compareProblems(a, b Problem) int {
	return cmp.Or(
		strings.Compare(a.File, b.File),
		cmp.Compare(a.Line, b.Line),
		cmp.Compare(a.Column, b.Column),
		strings.Compare(a.Path, b.Path),
		strings.Compare(a.Message, b.Message),
	)
}

// position is the position of a value in a document.
type position struct {
	file   string
	line   int
	column int
	path   string
	// origin describes where a substituted value was set. It is empty for a
	// value that is written at the position itself.
	origin string
}

// String returns the position as "file:line:column".
func (p position) String() string {
	return fmt.Sprintf("%s:%d:%d", p.file, p.line, p.column)
}

package version

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// maxProblems bounds how many problems one check reports.
const maxProblems = 100

// Problem is one fault in the text of a template or an organisation, or
// between them.
type Problem struct {
	// File is the name of the file.
	File string `json:"file"`
	// Line is the line in the file, from 1.
	Line int `json:"line"`
	// Column is the column in the line, from 1.
	Column int `json:"column"`
	// Path is the place in the document, such as "$.body.services[0].name".
	Path string `json:"path"`
	// Message says what is wrong.
	Message string `json:"message"`
}

// String returns the problem as "file:line:column: path: message".
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s", p.File, p.Line, p.Column, p.Path, p.Message)
}

// InvalidError refuses a configuration with everything that is wrong in it,
// sorted by file and line.
type InvalidError struct {
	// Problems are the problems, at least one.
	Problems []Problem
}

// Error returns all problems, one a line.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, problem := range e.Problems {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// problems gathers problems while a configuration is checked.
type problems struct {
	list []Problem
	// count counts all problems, those beyond maxProblems too.
	count int
}

// addf adds a problem at a place of a document.
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

// position is a place in the text of a document.
type position struct {
	file   string
	line   int
	column int
	path   string
	// origin says who gave the value that a reference stands for.
	origin string
}

// String returns the place as "file:line:column".
func (p position) String() string {
	return fmt.Sprintf("%s:%d:%d", p.file, p.line, p.column)
}

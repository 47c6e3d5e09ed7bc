package version

import (
	"slices"
	"strings"
)

// File is a file of one or more YAML documents, as an operator submitted it.
type File struct {
	// Name is the name of the file, for messages.
	Name string `json:"file"`
	// Text is the content of the file.
	Text string `json:"text"`
}

// splitFile splits a file into its YAML documents, at the lines that begin with
// the separator "---". Documents without content are left out.
func splitFile(file File) []Source {
	var sources []Source
	current := Source{File: file.Name, Line: 1}
	line := 0
	for text := range strings.Lines(file.Text) {
		line++
		if isSeparator(text) {
			sources = appendIfNotEmpty(sources, current)
			current = Source{File: file.Name, Line: line}
		}
		current.Text += text
	}
	return appendIfNotEmpty(sources, current)
}

func isSeparator(line string) bool {
	rest, ok := strings.CutPrefix(line, "---")
	return ok && (rest == "" || strings.ContainsRune(" \t\r\n", rune(rest[0])))
}

// appendIfNotEmpty appends a source, unless it has no content.
func appendIfNotEmpty(sources []Source, source Source) []Source {
	if !hasContent(source.Text) {
		return sources
	}
	return append(sources, source)
}

// hasContent reports whether a text contains anything but comments, separators
// and white space.
func hasContent(text string) bool {
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(strings.TrimPrefix(line, "---"))
		if line != "" && line[0] != '#' {
			return true
		}
	}
	return false
}

// sourceSet holds the sources of templates and organisations. The names of each
// kind are unique.
type sourceSet struct {
	templates     []Source
	organisations []Source
	// incomplete is true if a document could not be read. A template that seems
	// to be missing may be in that document.
	incomplete bool
}

// readFiles reads the kind and the name of each document in files and adds the
// document to a set. A document with the kind and name of an earlier one is
// reported as a problem.
func readFiles(files []File, ps *problems) sourceSet {
	var set sourceSet
	for _, file := range files {
		sources := splitFile(file)
		if len(sources) == 0 {
			ps.addf(position{file: file.Name, line: 1, column: 1, path: "$"}, "the file holds no document")
		}
		for _, source := range sources {
			set.addSource(source, ps)
		}
	}
	return set
}

func (set *sourceSet) addSource(source Source, ps *problems) {
	root := parseSource(source, ps)
	if root == nil {
		set.incomplete = true
		return
	}
	kind, name, ok := readKindAndName(root, ps)
	if !ok {
		set.incomplete = true
		return
	}
	source.Name = name
	list := &set.templates
	if kind == documentKindOrganisation {
		list = &set.organisations
	}
	if i := findSource(*list, name); i >= 0 {
		ps.addf(root.position, "the %s %s is already defined at %s:%d", kind, name, (*list)[i].File, (*list)[i].Line)
		return
	}
	*list = append(*list, source)
}

// readKindAndName returns the kind and the name of a document. If one of them is
// missing or not valid, it adds a problem and returns false.
func readKindAndName(root *value, ps *problems) (kind, name string, ok bool) {
	before := ps.count
	r := newReader(root, ps)
	r.requireField("kind")
	kind = r.text("kind")
	known := kind == documentKindTemplate || kind == documentKindOrganisation
	if ps.count == before && !known {
		ps.addf(r.position("kind"), "%q is not a kind of document; kinds are %s and %s", kind, documentKindTemplate, documentKindOrganisation)
	}
	name = r.name("name")
	return kind, name, ps.count == before
}

// findSource returns the index of the source with the given name, or -1.
func findSource(sources []Source, name string) int {
	return slices.IndexFunc(sources, func(s Source) bool { return s.Name == name })
}

// mergeSources returns the sources of old and changed, sorted by name. A source
// in changed replaces the one with the same name in old.
func mergeSources(old, changed []Source) []Source {
	merged := slices.Clone(old)
	for _, source := range changed {
		if i := findSource(merged, source.Name); i >= 0 {
			merged[i] = source
			continue
		}
		merged = append(merged, source)
	}
	slices.SortFunc(merged, func(a, b Source) int { return strings.Compare(a.Name, b.Name) })
	return merged
}

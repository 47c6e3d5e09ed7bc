package version

import (
	"slices"
	"strings"
)

// File is a file of one or more YAML documents as an operator gave it.
type File struct {
	// Name is the file's name, for messages.
	Name string `json:"file"`
	// Text is what the file holds.
	Text string `json:"text"`
}

// splitFile cuts a file at its lines "---" into the texts of its documents. A
// document without any content is left out.
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

func appendIfNotEmpty(sources []Source, source Source) []Source {
	if !hasContent(source.Text) {
		return sources
	}
	return append(sources, source)
}

// hasContent reports whether a text has more than comments and separators.
func hasContent(text string) bool {
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(strings.TrimPrefix(line, "---"))
		if line != "" && line[0] != '#' {
			return true
		}
	}
	return false
}

// sourceSet is a set of templates and organisations as text, each by name.
type sourceSet struct {
	templates     []Source
	organisations []Source
	// incomplete tells that a document could not be read, so that a template
	// that seems to be missing may be in it.
	incomplete bool
}

// readFiles names and sorts the documents of files into a set. A name that
// stands twice is a problem.
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
		ps.addf(root.position, "the %s %s stands at %s:%d already", kind, name, (*list)[i].File, (*list)[i].Line)
		return
	}
	*list = append(*list, source)
}

// readKindAndName returns the kind and the name of a document.
func readKindAndName(root *value, ps *problems) (kind, name string, ok bool) {
	before := ps.count
	r := newReader(root, ps)
	r.requireField("kind")
	kind = r.text("kind")
	known := kind == documentKindTemplate || kind == documentKindOrganisation
	if ps.count == before && !known {
		ps.addf(r.position("kind"), "%q is no kind; kinds are %s and %s", kind, documentKindTemplate, documentKindOrganisation)
	}
	name = r.name("name")
	return kind, name, ps.count == before
}

// findSource returns the index of the source of that name, or -1.
func findSource(sources []Source, name string) int {
	return slices.IndexFunc(sources, func(s Source) bool { return s.Name == name })
}

// mergeSources returns the sources of old with those of changed put in their
// place, sorted by name.
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

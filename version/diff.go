package version

import (
	"fmt"
	"slices"
	"strings"
)

const (
	// maxDiffLines bounds the number of changed values that are shown for one
	// source.
	maxDiffLines = 8
	// maxDiffText bounds the length of a shown value, in bytes.
	maxDiffText = 60
)

// Diff returns a human-readable description of the changes from old to new, one
// line per change. The lines are part of stored history entries.
func Diff(old, new Document) []string {
	lines := diffSources(documentKindTemplate, old.Templates, new.Templates)
	lines = append(lines, diffSources(documentKindOrganisation, old.Organisations, new.Organisations)...)
	lines = append(lines, diffNames("data centre", old.DataCentresOut, new.DataCentresOut)...)
	return append(lines, diffNames("target", old.TargetsOut, new.TargetsOut)...)
}

// diffNames returns a line for each name that was added to or removed from a list
// of names that are out of service.
func diffNames(subject string, old, new []string) []string {
	var lines []string
	for _, name := range new {
		if !contains(old, name) {
			lines = append(lines, fmt.Sprintf("%s %s: out", subject, name))
		}
	}
	for _, name := range old {
		if !contains(new, name) {
			lines = append(lines, fmt.Sprintf("%s %s: in", subject, name))
		}
	}
	return lines
}

// diffSources returns a line for each source that was added or removed, and lines
// for the changed values of each other source. The argument subject is the kind
// of the sources.
func diffSources(subject string, old, new []Source) []string {
	var lines []string
	for _, source := range new {
		i := findSource(old, source.Name)
		if i < 0 {
			lines = append(lines, fmt.Sprintf("%s %s: added", subject, source.Name))
			continue
		}
		if old[i].Text != source.Text {
			lines = append(lines, diffTexts(subject+" "+source.Name, old[i], source)...)
		}
	}
	for _, source := range old {
		if findSource(new, source.Name) < 0 {
			lines = append(lines, fmt.Sprintf("%s %s: removed", subject, source.Name))
		}
	}
	return lines
}

// diffTexts returns a line for each value whose displayed text differs between
// two versions of one source, at most maxDiffLines, and a line with the number of
// those left out. If there are none, it returns a single line that says so.
func diffTexts(subject string, old, new Source) []string {
	before, oldPaths := leaves(old)
	after, newPaths := leaves(new)
	var lines []string
	for _, path := range newPaths {
		text, ok := before[path]
		if !ok {
			lines = append(lines, fmt.Sprintf("%s: %s: added %s", subject, path, after[path]))
		} else if text != after[path] {
			lines = append(lines, fmt.Sprintf("%s: %s: %s -> %s", subject, path, text, after[path]))
		}
	}
	for _, path := range oldPaths {
		if _, ok := after[path]; !ok {
			lines = append(lines, fmt.Sprintf("%s: %s: removed", subject, path))
		}
	}
	if len(lines) == 0 {
		return []string{subject + ": text changed, no value"}
	}
	if more := len(lines) - maxDiffLines; more > 0 {
		lines = append(lines[:maxDiffLines], fmt.Sprintf("%s: %d more changes", subject, more))
	}
	return lines
}

// leaves returns the leaf values of a source by path, quoted and truncated for
// display, and the paths in the order of the text. It returns none if the source
// can't be parsed.
func leaves(source Source) (texts map[string]string, paths []string) {
	texts = make(map[string]string)
	root := parseSource(source, &problems{})
	if root == nil {
		return texts, nil
	}
	root.walkLeaves(func(path, text string) {
		texts[path] = truncate(fmt.Sprintf("%q", text), maxDiffText)
		paths = append(paths, path)
	})
	return texts, paths
}

// truncate shortens a text to at most limit bytes. A shortened text ends in
// "...".
func truncate(text string, limit int) string {
	const ellipsis = "..."
	if len(text) <= limit {
		return text
	}
	return strings.ToValidUTF8(text[:limit-len(ellipsis)], "") + ellipsis
}

// sortedUnique returns the names sorted and without duplicates.
func sortedUnique(names []string) []string {
	out := slices.Clone(names)
	slices.Sort(out)
	return slices.Compact(out)
}

package version

import (
	"strings"
)

// substitution replaces the references ${name} in the body of a template by the
// values of parameters. A string that consists of a single reference becomes the
// value with its type. A reference inside a longer string is replaced by the text
// of the value. "$${" is an escaped "${".
type substitution struct {
	// values holds the values of all parameters by name.
	values   map[string]*value
	problems *problems
}

// apply returns v with all references replaced. It doesn't modify v.
func (s *substitution) apply(v *value) *value {
	switch v.kind {
	case kindString:
		return s.applyToString(v)
	case kindList:
		return s.applyToList(v)
	case kindMap:
		return s.applyToMap(v)
	}
	return v
}

func (s *substitution) applyToList(v *value) *value {
	out := *v
	out.items = make([]*value, len(v.items))
	for i, item := range v.items {
		out.items[i] = s.apply(item)
	}
	return &out
}

func (s *substitution) applyToMap(v *value) *value {
	out := *v
	out.fields = make([]field, len(v.fields))
	for i, f := range v.fields {
		out.fields[i] = field{key: f.key, position: f.position, value: s.apply(f.value)}
	}
	return &out
}

func (s *substitution) applyToString(v *value) *value {
	if name, ok := wholeReference(v.text); ok {
		return s.resolve(v, name)
	}
	out := *v
	text, unset := s.expand(v)
	out.text = text
	if unset {
		out = value{position: v.position, kind: kindUnset}
	}
	return &out
}

// resolve returns the value of a parameter, at the position of the string v that
// refers to it. If there is no such parameter, it adds a problem and returns an
// unset value.
func (s *substitution) resolve(v *value, name string) *value {
	replacement, ok := s.values[name]
	if !ok {
		s.problems.addf(v.position, "the template has no parameter %q", name)
		return &value{position: v.position, kind: kindUnset}
	}
	pos := v.position
	pos.origin = "the value of " + name + " at " + replacement.position.String()
	return withPosition(replacement, pos)
}

// withPosition returns a copy of v in which v and all its items have the given
// position.
func withPosition(v *value, pos position) *value {
	out := *v
	out.position = pos
	out.items = make([]*value, len(v.items))
	for i, item := range v.items {
		out.items[i] = withPosition(item, pos)
	}
	return &out
}

// wholeReference returns the name of the parameter if text consists of a single
// reference.
func wholeReference(text string) (string, bool) {
	rest, ok := strings.CutPrefix(text, "${")
	if !ok {
		return "", false
	}
	name, rest, ok := strings.Cut(rest, "}")
	return name, ok && rest == ""
}

// expand returns the text of the string v with its references replaced, and
// whether one of them has no value that can be inserted. If a reference is not
// closed, it adds a problem and returns the text as it is.
func (s *substitution) expand(v *value) (text string, unset bool) {
	var out strings.Builder
	rest := v.text
	for {
		before, after, found := strings.Cut(rest, "${")
		if !found {
			out.WriteString(rest)
			return out.String(), unset
		}
		if literal, ok := strings.CutSuffix(before, "$"); ok {
			out.WriteString(literal + "${")
			rest = after
			continue
		}
		name, tail, closed := strings.Cut(after, "}")
		if !closed {
			s.problems.addf(v.position, "a reference ${ is not closed by }")
			return v.text, unset
		}
		out.WriteString(before)
		part, ok := s.referenceText(v, name)
		out.WriteString(part)
		unset = unset || !ok
		rest = tail
	}
}

// referenceText returns the text of the value of a parameter, for use inside the
// string v. It returns false if there is no such parameter or its value is unset,
// a list or a map.
func (s *substitution) referenceText(v *value, name string) (text string, ok bool) {
	replacement, ok := s.values[name]
	if !ok {
		s.problems.addf(v.position, "the template has no parameter %q", name)
		return "", false
	}
	switch replacement.kind {
	case kindUnset:
		return "", false
	case kindList, kindMap:
		s.problems.addf(v.position, "the list ${%s} can't be used inside a string", name)
		return "", false
	}
	return replacement.scalarText(), true
}

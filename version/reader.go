package version

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// reader reads the fields of one map, each with its type and range, and adds
// a problem for each field that is missing, wrong or unknown.
type reader struct {
	value       *value
	problems    *problems
	knownFields []string
}

// newReader returns a reader of v. A value that is not a map is a problem, and
// is read as an empty map.
func newReader(v *value, ps *problems) *reader {
	if v.kind != kindMap {
		if v.kind != kindUnset {
			ps.addf(v.position, "want a map, got %s", describe(v))
		}
		v = &value{position: v.position, kind: kindUnset}
	}
	return &reader{value: v, problems: ps}
}

// describe names a value's type, and its text if that is short.
func describe(v *value) string {
	const maxText = 40
	text := v.scalarText()
	if v.kind == kindList || v.kind == kindMap || v.kind == kindNull || len(text) > maxText {
		return v.kind.String()
	}
	return fmt.Sprintf("%s %q", v.kind, text)
}

// field returns the value of a field, or nil if it is absent, null or unset.
func (r *reader) field(name string) *value {
	if !contains(r.knownFields, name) {
		r.knownFields = append(r.knownFields, name)
	}
	v := r.value.get(name)
	if v == nil || v.kind == kindNull || v.kind == kindUnset {
		return nil
	}
	return v
}

// has reports whether the field is there, be it unset.
func (r *reader) has(name string) bool {
	v := r.value.get(name)
	return v != nil && v.kind != kindNull
}

// requireField adds a problem if the field is absent.
func (r *reader) requireField(name string) {
	if r.value.kind == kindMap && !r.has(name) {
		r.problems.addf(r.value.position, "the field %s is missing", name)
	}
}

// position returns the place of a field's value, or else of the map.
func (r *reader) position(name string) position {
	if v := r.value.get(name); v != nil {
		return v.position
	}
	return r.value.position
}

// checkUnknownFields adds a problem for each field that was not read.
func (r *reader) checkUnknownFields() {
	for _, f := range r.value.fields {
		if !contains(r.knownFields, f.key) {
			r.problems.addf(f.position, "unknown field; known are %s", strings.Join(r.knownFields, ", "))
		}
	}
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// text reads a string field.
func (r *reader) text(name string) string {
	v := r.field(name)
	if v == nil {
		return ""
	}
	return stringValue(v, r.problems)
}

func stringValue(v *value, ps *problems) string {
	if v.kind != kindString {
		ps.addf(v.position, "want a string, got %s", describe(v))
		return ""
	}
	return v.text
}

// name reads a required field that is a name.
func (r *reader) name(name string) string {
	r.requireField(name)
	text := r.text(name)
	if text != "" && !validName(text) {
		r.problems.addf(r.position(name), "%q is not a name of lower-case letters, digits and inner hyphens, up to %d", text, maxNameBytes)
	}
	if v := r.value.get(name); text == "" && v != nil && v.kind == kindString {
		r.problems.addf(v.position, "the name is empty")
	}
	return text
}

// boolean reads a boolean field.
func (r *reader) boolean(name string, defaultValue bool) bool {
	v := r.field(name)
	if v == nil {
		return defaultValue
	}
	if v.kind != kindBoolean {
		r.problems.addf(v.position, "want true or false, got %s", describe(v))
		return defaultValue
	}
	return v.boolean
}

// integer reads an integer field within a range.
func (r *reader) integer(name string, defaultValue, low, high int64) int64 {
	v := r.field(name)
	if v == nil {
		return defaultValue
	}
	if v.kind != kindInteger {
		r.problems.addf(v.position, "want an integer, got %s", describe(v))
		return defaultValue
	}
	if v.integer < low || v.integer > high {
		r.problems.addf(v.position, "%d is not from %d to %d", v.integer, low, high)
		return defaultValue
	}
	return v.integer
}

// number reads a number field within a range.
func (r *reader) number(name string, defaultValue, low, high float64) float64 {
	v := r.field(name)
	if v == nil {
		return defaultValue
	}
	number, ok := v.asNumber()
	if !ok || math.IsNaN(number) {
		r.problems.addf(v.position, "want a number, got %s", describe(v))
		return defaultValue
	}
	if number < low || number > high {
		r.problems.addf(v.position, "%v is not from %v to %v", number, low, high)
		return defaultValue
	}
	return number
}

// duration reads a duration field such as "250ms" within a range.
func (r *reader) duration(name string, defaultValue, low, high time.Duration) time.Duration {
	v := r.field(name)
	if v == nil {
		return defaultValue
	}
	duration, ok := v.asDuration()
	if !ok {
		r.problems.addf(v.position, "want a duration with its unit such as 250ms, got %s", describe(v))
		return defaultValue
	}
	if duration < low || duration > high {
		r.problems.addf(v.position, "%s is not from %s to %s", duration, low, high)
		return defaultValue
	}
	return duration
}

// stringList reads a list of strings without repetition.
func (r *reader) stringList(name string) []string {
	var texts []string
	for _, item := range r.list(name) {
		if item.kind == kindUnset {
			continue
		}
		text := stringValue(item, r.problems)
		if contains(texts, text) {
			r.problems.addf(item.position, "%q stands twice in the list", text)
		}
		texts = append(texts, text)
	}
	return texts
}

// list reads a list field.
func (r *reader) list(name string) []*value {
	v := r.field(name)
	if v == nil {
		return nil
	}
	if v.kind != kindList {
		r.problems.addf(v.position, "want a list, got %s", describe(v))
		return nil
	}
	return v.items
}

// nonEmptyList reads a required list field with at least one item.
func (r *reader) nonEmptyList(name string) []*value {
	r.requireField(name)
	items := r.list(name)
	if v := r.value.get(name); v != nil && v.kind == kindList && len(items) == 0 {
		r.problems.addf(v.position, "the list is empty")
	}
	return items
}

// mapField returns a reader of a map field. An absent field reads as empty.
func (r *reader) mapField(name string) *reader {
	v := r.field(name)
	if v == nil {
		v = &value{position: r.position(name), kind: kindUnset}
	}
	return newReader(v, r.problems)
}

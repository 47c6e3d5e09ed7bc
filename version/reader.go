package version

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// reader reads the fields of one map. It checks their types and ranges and adds
// a problem for each field that is missing, not valid or unknown. Methods that
// read an optional field return the default value if it is absent or not valid.
type reader struct {
	value    *value
	problems *problems
	// knownFields lists the fields that were read, in the order of first reading.
	knownFields []string
}

// newReader returns a reader of the map v. If v is not a map, it is read as an
// empty map, and reported as a problem unless it is unset.
func newReader(v *value, ps *problems) *reader {
	if v.kind != kindMap {
		if v.kind != kindUnset {
			ps.addf(v.position, "want a map, got %s", describe(v))
		}
		v = &value{position: v.position, kind: kindUnset}
	}
	return &reader{value: v, problems: ps}
}

// describe returns the type of a value for messages, with its text if that is
// short.
func describe(v *value) string {
	const maxText = 40
	text := v.scalarText()
	if v.kind == kindList || v.kind == kindMap || v.kind == kindNull || len(text) > maxText {
		return v.kind.String()
	}
	return fmt.Sprintf("%s %q", v.kind, text)
}

// field returns the value of a field, or nil if it is absent, null or unset. It
// also records the name as known.
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

// has reports whether the field is present and not null. It may be unset.
func (r *reader) has(name string) bool {
	v := r.value.get(name)
	return v != nil && v.kind != kindNull
}

// requireField adds a problem if the field is absent or null. It does nothing if
// the reader's value is not a map.
func (r *reader) requireField(name string) {
	if r.value.kind == kindMap && !r.has(name) {
		r.problems.addf(r.value.position, "the field %s is missing", name)
	}
}

// position returns the position of a field's value, or of the map if the field
// is absent.
func (r *reader) position(name string) position {
	if v := r.value.get(name); v != nil {
		return v.position
	}
	return r.value.position
}

// checkUnknownFields adds a problem for each field of the map that was not read.
// It is called after all known fields were read.
func (r *reader) checkUnknownFields() {
	for _, f := range r.value.fields {
		if !contains(r.knownFields, f.key) {
			r.problems.addf(f.position, "unknown field; known fields are %s", strings.Join(r.knownFields, ", "))
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

// text reads an optional string field, which is "" by default.
func (r *reader) text(name string) string {
	v := r.field(name)
	if v == nil {
		return ""
	}
	return stringValue(v, r.problems)
}

// stringValue returns the text of a string. If v is not a string, it adds a
// problem and returns "".
func stringValue(v *value, ps *problems) string {
	if v.kind != kindString {
		ps.addf(v.position, "want a string, got %s", describe(v))
		return ""
	}
	return v.text
}

// name reads a required field that must be a valid name.
func (r *reader) name(name string) string {
	r.requireField(name)
	text := r.text(name)
	if text != "" && !validName(text) {
		r.problems.addf(r.position(name), "%q is not a valid name: use at most %d lower-case letters, digits and inner hyphens", text, maxNameBytes)
	}
	if v := r.value.get(name); text == "" && v != nil && v.kind == kindString {
		r.problems.addf(v.position, "the name is empty")
	}
	return text
}

// boolean reads an optional boolean field.
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

// integer reads an optional integer field that must be from low to high.
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
		r.problems.addf(v.position, "%d is not in the range from %d to %d", v.integer, low, high)
		return defaultValue
	}
	return v.integer
}

// number reads an optional integer or floating-point field that must be from low
// to high.
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
		r.problems.addf(v.position, "%v is not in the range from %v to %v", number, low, high)
		return defaultValue
	}
	return number
}

// duration reads an optional duration field, such as "250ms", that must be from
// low to high.
func (r *reader) duration(name string, defaultValue, low, high time.Duration) time.Duration {
	v := r.field(name)
	if v == nil {
		return defaultValue
	}
	duration, ok := v.asDuration()
	if !ok {
		r.problems.addf(v.position, "want a duration with a unit (such as 250ms), got %s", describe(v))
		return defaultValue
	}
	if duration < low || duration > high {
		r.problems.addf(v.position, "%s is not in the range from %s to %s", duration, low, high)
		return defaultValue
	}
	return duration
}

// stringList reads an optional list of strings, which must be distinct. Unset
// items are left out.
func (r *reader) stringList(name string) []string {
	var texts []string
	for _, item := range r.list(name) {
		if item.kind == kindUnset {
			continue
		}
		text := stringValue(item, r.problems)
		if contains(texts, text) {
			r.problems.addf(item.position, "%q is listed twice", text)
		}
		texts = append(texts, text)
	}
	return texts
}

// list reads an optional list field.
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

// mapField returns a reader of an optional map field. An absent field is read as
// an empty map.
func (r *reader) mapField(name string) *reader {
	v := r.field(name)
	if v == nil {
		v = &value{position: r.position(name), kind: kindUnset}
	}
	return newReader(v, r.problems)
}

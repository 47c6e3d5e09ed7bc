package version

import (
	"fmt"
	"time"
)

// valueKind is the type of a value in a YAML document.
type valueKind uint8

const (
	kindNull valueKind = iota
	kindBoolean
	kindInteger
	kindNumber
	kindString
	kindList
	kindMap
	// kindUnset is the kind of the value of a required parameter while a template
	// is checked without an organisation. It is accepted for any type.
	kindUnset
)

var kindNames = [...]string{"null", "boolean", "integer", "number", "string", "list", "map", "unset"}

func (k valueKind) String() string { return kindNames[k] }

// value is a value in a YAML document and its position. It is immutable once it
// is built. The kind determines which of the other fields are set.
type value struct {
	position
	kind    valueKind
	boolean bool
	integer int64
	number  float64
	text    string
	items   []*value // of a list
	fields  []field  // of a map, in the order of the text
}

// field is a key of a map with its position and value.
type field struct {
	key      string
	position position
	value    *value
}

// get returns the value of a key of a map, or nil if there is no such key.
func (v *value) get(key string) *value {
	for i := range v.fields {
		if v.fields[i].key == key {
			return v.fields[i].value
		}
	}
	return nil
}

// scalarText returns a scalar as text, for messages and for use inside a string.
// For all other values it returns the name of the kind.
func (v *value) scalarText() string {
	switch v.kind {
	case kindBoolean:
		return fmt.Sprint(v.boolean)
	case kindInteger:
		return fmt.Sprint(v.integer)
	case kindNumber:
		return fmt.Sprint(v.number)
	case kindString:
		return v.text
	}
	return v.kind.String()
}

// asNumber returns the value of an integer or a floating-point number. It returns
// false for all other values.
func (v *value) asNumber() (float64, bool) {
	switch v.kind {
	case kindInteger:
		return float64(v.integer), true
	case kindNumber:
		return v.number, true
	}
	return 0, false
}

// asDuration parses a string such as "250ms" as a duration. It returns false if
// the value is not such a string.
func (v *value) asDuration() (time.Duration, bool) {
	if v.kind != kindString {
		return 0, false
	}
	duration, err := time.ParseDuration(v.text)
	return duration, err == nil
}

// walkLeaves calls visit with the path and text of each scalar, empty list and
// empty map in v, in the order of the text. v itself may be such a value.
func (v *value) walkLeaves(visit func(path, text string)) {
	for _, item := range v.items {
		item.walkLeaves(visit)
	}
	for _, f := range v.fields {
		f.value.walkLeaves(visit)
	}
	if len(v.items) == 0 && len(v.fields) == 0 {
		visit(v.path, v.scalarText())
	}
}

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
	// kindUnset is the value of a parameter that has no value while a template
	// is checked by itself. It passes for any type.
	kindUnset
)

var kindNames = [...]string{"null", "boolean", "integer", "number", "string", "list", "map", "unset"}

func (k valueKind) String() string { return kindNames[k] }

// value is one value of a YAML document with its place. A value is never
// changed once it is built.
type value struct {
	position
	kind    valueKind
	boolean bool
	integer int64
	number  float64
	text    string
	items   []*value
	fields  []field
}

// field is one key of a map with its value.
type field struct {
	key      string
	position position
	value    *value
}

// get returns the value of a key, or nil.
func (v *value) get(key string) *value {
	for i := range v.fields {
		if v.fields[i].key == key {
			return v.fields[i].value
		}
	}
	return nil
}

// scalarText returns the value as text, for messages and for use inside a string.
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

// asNumber returns an integer or a number as a float.
func (v *value) asNumber() (float64, bool) {
	switch v.kind {
	case kindInteger:
		return float64(v.integer), true
	case kindNumber:
		return v.number, true
	}
	return 0, false
}

// asDuration returns a string such as "250ms" as a duration.
func (v *value) asDuration() (time.Duration, bool) {
	if v.kind != kindString {
		return 0, false
	}
	duration, err := time.ParseDuration(v.text)
	return duration, err == nil
}

// walkLeaves calls visit for each leaf below the value, by path.
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

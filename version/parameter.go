package version

import (
	"strings"
)

// parameterType is the type of a template parameter, as written in YAML.
type parameterType string

const (
	typeString   parameterType = "string"
	typeInteger  parameterType = "integer"
	typeNumber   parameterType = "number"
	typeDuration parameterType = "duration"
	typeBoolean  parameterType = "boolean"
	typeStrings  parameterType = "strings"
)

var parameterTypes = []string{
	string(typeString), string(typeInteger), string(typeNumber),
	string(typeDuration), string(typeBoolean), string(typeStrings),
}

// ordered reports whether values of the type may have a min and a max.
func (t parameterType) ordered() bool {
	return t == typeInteger || t == typeNumber || t == typeDuration
}

// parameter is the declaration of a template parameter.
type parameter struct {
	name         string
	valueType    parameterType
	required     bool
	defaultValue *value // nil if the parameter is required
	min          *value // nil if there is no lower bound
	max          *value // nil if there is no upper bound
	// allowed lists the allowed values, or the allowed items of a list. If it is
	// empty, all values are allowed.
	allowed []*value
}

// readParameter reads the declaration of one parameter.
func readParameter(f field, ps *problems) *parameter {
	if !validParameterName(f.key) {
		ps.addf(f.position, "%q is not a valid parameter name: use lower-case letters, digits and underscores", f.key)
	}
	r := newReader(f.value, ps)
	p := &parameter{name: f.key, valueType: parameterType(r.text("type"))}
	r.text("description")
	p.required = r.boolean("required", false)
	p.defaultValue = r.field("default")
	p.min = r.field("min")
	p.max = r.field("max")
	p.allowed = r.list("allowed")
	r.checkUnknownFields()
	r.requireField("type")
	if !r.has("type") {
		return p
	}
	if !contains(parameterTypes, string(p.valueType)) {
		ps.addf(r.position("type"), "%q is not a parameter type; types are %s", p.valueType, strings.Join(parameterTypes, ", "))
		return p
	}
	p.checkDeclaration(r, ps)
	return p
}

// checkDeclaration adds a problem for each field of the declaration that
// contradicts another one, such as a default above the maximum.
func (p *parameter) checkDeclaration(r *reader, ps *problems) {
	if p.required == (p.defaultValue != nil) {
		ps.addf(r.value.position, "the parameter needs either a default or required: true")
	}
	if !p.valueType.ordered() && (p.min != nil || p.max != nil) {
		ps.addf(r.value.position, "a parameter of type %s can't have min or max", p.valueType)
		p.min, p.max = nil, nil
	}
	for _, bound := range []*value{p.min, p.max} {
		if bound != nil {
			checkType(bound, p.valueType, ps)
		}
	}
	for _, item := range p.allowed {
		checkType(item, p.itemType(), ps)
	}
	if p.min != nil && p.max != nil && less(p.max, p.min) {
		ps.addf(p.min.position, "min %s is above max %s", p.min.scalarText(), p.max.scalarText())
	}
	if p.defaultValue != nil {
		p.checkValue(p.defaultValue, ps)
	}
}

// itemType returns the type of the values in allowed.
func (p *parameter) itemType() parameterType {
	if p.valueType == typeStrings {
		return typeString
	}
	return p.valueType
}

// checkValue adds a problem if v has the wrong type, is out of bounds or is not
// an allowed value.
func (p *parameter) checkValue(v *value, ps *problems) {
	if !checkType(v, p.valueType, ps) {
		return
	}
	if p.min != nil && less(v, p.min) {
		ps.addf(v.position, "%s is %s, below its min %s", p.name, v.scalarText(), p.min.scalarText())
	}
	if p.max != nil && less(p.max, v) {
		ps.addf(v.position, "%s is %s, above its max %s", p.name, v.scalarText(), p.max.scalarText())
	}
	items := []*value{v}
	if p.valueType == typeStrings {
		items = v.items
	}
	for _, item := range items {
		p.checkAllowed(item, ps)
	}
}

func (p *parameter) checkAllowed(v *value, ps *problems) {
	if len(p.allowed) == 0 {
		return
	}
	texts := make([]string, len(p.allowed))
	for i, allowed := range p.allowed {
		if p.equal(v, allowed) {
			return
		}
		texts[i] = allowed.scalarText()
	}
	ps.addf(v.position, "%s is %q; allowed values are %s", p.name, v.scalarText(), strings.Join(texts, ", "))
}

// equal reports whether two values of the parameter's type are the same: by amount if
// the type is ordered, and by text otherwise.
func (p *parameter) equal(a, b *value) bool {
	if p.valueType.ordered() {
		return !less(a, b) && !less(b, a)
	}
	return a.scalarText() == b.scalarText()
}

// checkType reports whether v has the type. If not, it adds a problem.
func checkType(v *value, want parameterType, ps *problems) bool {
	if hasType(v, want) {
		return true
	}
	ps.addf(v.position, "want %s, got %s", typeDescriptions[want], describe(v))
	return false
}

// typeDescriptions describes the types in messages.
var typeDescriptions = map[parameterType]string{
	typeString:   "a string",
	typeInteger:  "an integer",
	typeNumber:   "a number",
	typeDuration: "a duration with a unit (such as 250ms)",
	typeBoolean:  "true or false",
	typeStrings:  "a list of strings",
}

func hasType(v *value, want parameterType) bool {
	switch want {
	case typeString:
		return v.kind == kindString
	case typeInteger:
		return v.kind == kindInteger
	case typeNumber:
		return v.kind == kindInteger || v.kind == kindNumber
	case typeDuration:
		_, ok := v.asDuration()
		return ok
	case typeBoolean:
		return v.kind == kindBoolean
	case typeStrings:
		return isStringList(v)
	}
	return false
}

func isStringList(v *value) bool {
	if v.kind != kindList {
		return false
	}
	for _, item := range v.items {
		if item.kind != kindString {
			return false
		}
	}
	return true
}

// less reports whether a is below b. Numbers are compared by value, durations by
// their length, and other values by their text. A number or a duration is not
// below a value of another type.
func less(a, b *value) bool {
	if x, ok := a.asNumber(); ok {
		y, ok := b.asNumber()
		return ok && x < y
	}
	if x, ok := a.asDuration(); ok {
		y, ok := b.asDuration()
		return ok && x < y
	}
	return a.scalarText() < b.scalarText()
}

func validParameterName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for _, c := range []byte(name) {
		if !isNameByte(c) && c != '_' || c == '-' {
			return false
		}
	}
	return true
}

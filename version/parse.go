package version

import (
	"fmt"
	"math"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
)

// Bounds on the text of a YAML document. They are checked before the text is
// parsed, because the cost of the YAML parser grows with the square of the depth
// and of the number of keys.
const (
	// maxSourceBytes bounds the text of one document, in bytes.
	maxSourceBytes = 64 << 10
	// maxLineBytes bounds one line, in bytes.
	maxLineBytes = 4 << 10
	// maxDepth bounds the nesting depth of lists and maps.
	maxDepth = 24
)

// parseSource parses a YAML document and returns its root. If the document can't
// be parsed, it adds a problem and returns nil. Positions are those in the file
// of the source.
func parseSource(source Source, ps *problems) *value {
	t := &treeBuilder{file: source.File, firstLine: source.Line, problems: ps}
	start := t.position(1, 1, "$")
	if message := checkBounds(source.Text); message != "" {
		ps.addf(start, "%s", message)
		return nil
	}
	file, err := parseYAML(source.Text)
	if err != nil {
		t.addSyntaxError(err)
		return nil
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		ps.addf(start, "the text is not a single YAML document; separate documents with ---")
		return nil
	}
	before := ps.count
	v := t.build(file.Docs[0].Body, "$", 0)
	if ps.count > before {
		return nil
	}
	return v
}

// parseYAML calls the YAML parser and returns a panic of the parser as an error.
func parseYAML(text string) (file *ast.File, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Errorf("the YAML parser failed: %v", r)
		}
	}()
	return parser.ParseBytes([]byte(text), 0)
}

// checkBounds returns a message if the text exceeds a bound, or "".
func checkBounds(text string) string {
	if len(text) > maxSourceBytes {
		return fmt.Sprintf("the document has %d bytes, at most %d are allowed", len(text), maxSourceBytes)
	}
	depth := 0
	for line := range strings.Lines(text) {
		if len(line) > maxLineBytes {
			return fmt.Sprintf("a line has %d bytes, at most %d are allowed", len(line), maxLineBytes)
		}
		depth = max(0, depth+strings.Count(line, "[")+strings.Count(line, "{"))
		if depth -= strings.Count(line, "]") + strings.Count(line, "}"); depth > maxDepth {
			return fmt.Sprintf("brackets are nested deeper than %d", maxDepth)
		}
	}
	return ""
}

// treeBuilder converts the nodes of the YAML parser to values.
type treeBuilder struct {
	file string
	// firstLine is the line of the file at which the parsed text begins.
	firstLine int
	problems  *problems
}

// position returns the position in the file for a line and column of the parsed
// text, both counted from 1.
func (t *treeBuilder) position(line, column int, path string) position {
	return position{file: t.file, line: t.firstLine + line - 1, column: column, path: path}
}

// nodePosition returns the position of a node, or of the start of the text if the
// parser gives none.
func (t *treeBuilder) nodePosition(node ast.Node, path string) position {
	token := node.GetToken()
	if token == nil || token.Position == nil {
		return t.position(1, 1, path)
	}
	return t.position(token.Position.Line, token.Position.Column, path)
}

// addSyntaxError adds a problem for an error of the YAML parser.
func (t *treeBuilder) addSyntaxError(err error) {
	pos := t.position(1, 1, "$")
	var detailed yaml.Error
	if !errors.As(err, &detailed) {
		t.problems.addf(pos, "%v", err)
		return
	}
	if token := detailed.GetToken(); token != nil && token.Position != nil {
		pos = t.position(token.Position.Line, token.Position.Column, "$")
	}
	t.problems.addf(pos, "%s", detailed.GetMessage())
}

// build converts a node and its children. A map in block style has the position
// of its first key, a map in flow style that of its brace.
func (t *treeBuilder) build(node ast.Node, path string, depth int) *value {
	v := &value{position: t.nodePosition(node, path)}
	if depth > maxDepth {
		t.problems.addf(v.position, "nested deeper than %d", maxDepth)
		return v
	}
	switch n := node.(type) {
	case *ast.MappingNode:
		t.buildMap(v, n.Values, depth)
		if n.IsFlowStyle {
			v.position = t.nodePosition(node, path)
		}
	case *ast.MappingValueNode:
		t.buildMap(v, []*ast.MappingValueNode{n}, depth)
	case *ast.SequenceNode:
		t.buildList(v, n, depth)
	default:
		t.buildScalar(v, node)
	}
	return v
}

func (t *treeBuilder) buildMap(v *value, entries []*ast.MappingValueNode, depth int) {
	v.kind = kindMap
	for i, entry := range entries {
		key, ok := entry.Key.(*ast.StringNode)
		if !ok {
			t.problems.addf(t.nodePosition(entry.Key, v.path), "the key is not a string")
			continue
		}
		pos := t.nodePosition(entry.Key, v.path+"."+key.Value)
		if i == 0 {
			v.line, v.column = pos.line, pos.column
		}
		item := t.build(entry.Value, pos.path, depth+1)
		v.fields = append(v.fields, field{key: key.Value, position: pos, value: item})
	}
}

func (t *treeBuilder) buildList(v *value, n *ast.SequenceNode, depth int) {
	v.kind = kindList
	for i, item := range n.Values {
		v.items = append(v.items, t.build(item, fmt.Sprintf("%s[%d]", v.path, i), depth+1))
	}
}

func (t *treeBuilder) buildScalar(v *value, node ast.Node) {
	switch n := node.(type) {
	case *ast.NullNode:
		v.kind = kindNull
	case *ast.BoolNode:
		v.kind, v.boolean = kindBoolean, n.Value
	case *ast.IntegerNode:
		t.buildInteger(v, n)
	case *ast.FloatNode:
		v.kind, v.number = kindNumber, n.Value
		if math.IsInf(n.Value, 0) {
			t.problems.addf(v.position, "the number is out of range")
		}
	case *ast.InfinityNode, *ast.NanNode:
		t.problems.addf(v.position, "the number is out of range")
	case *ast.StringNode:
		v.kind, v.text = kindString, n.Value
	case *ast.LiteralNode:
		v.kind, v.text = kindString, n.Value.Value
	default:
		t.problems.addf(v.position, "the YAML type %s is not supported", node.Type())
	}
}

func (t *treeBuilder) buildInteger(v *value, n *ast.IntegerNode) {
	v.kind = kindInteger
	switch number := n.Value.(type) {
	case int64:
		v.integer = number
	case uint64:
		if number > math.MaxInt64 {
			t.problems.addf(v.position, "the integer is out of range")
			return
		}
		v.integer = int64(number)
	default:
		t.problems.addf(v.position, "the integer is out of range")
	}
}

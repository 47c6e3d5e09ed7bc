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

// Bounds of the text of a document. The YAML parser's cost grows with the
// square of the depth and of the number of keys, so they are checked first.
const (
	// maxSourceBytes bounds the text of one document, in bytes.
	maxSourceBytes = 64 << 10
	// maxLineBytes bounds one line, in bytes.
	maxLineBytes = 4 << 10
	// maxDepth bounds how deep lists and maps may be nested.
	maxDepth = 24
)

// parseSource returns the root of a YAML document, or nil after adding a
// problem. Lines count from the source's first line in its file.
func parseSource(source Source, ps *problems) *value {
	t := &treeBuilder{file: source.File, firstLine: source.Line, problems: ps}
	root := t.at(1, 1, "$")
	if message := checkBounds(source.Text); message != "" {
		ps.at(root, "%s", message)
		return nil
	}
	file, err := parseYAML(source.Text)
	if err != nil {
		t.syntax(err)
		return nil
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		ps.at(root, "the text is not one YAML document; separate documents by ---")
		return nil
	}
	before := ps.count
	v := t.build(file.Docs[0].Body, "$", 0)
	if ps.count > before {
		return nil
	}
	return v
}

// parseYAML calls the parser and turns a panic of the parser into an error.
func parseYAML(text string) (file *ast.File, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Errorf("the YAML parser failed: %v", r)
		}
	}()
	return parser.ParseBytes([]byte(text), 0)
}

// checkBounds returns what makes the text too large to parse, or "".
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

// treeBuilder turns the parser's nodes into values.
type treeBuilder struct {
	file      string
	firstLine int
	problems  *problems
}

func (t *treeBuilder) at(line, column int, path string) place {
	return place{file: t.file, line: t.firstLine + line - 1, column: column, path: path}
}

func (t *treeBuilder) nodePlace(node ast.Node, path string) place {
	token := node.GetToken()
	if token == nil || token.Position == nil {
		return t.at(1, 1, path)
	}
	return t.at(token.Position.Line, token.Position.Column, path)
}

func (t *treeBuilder) syntax(err error) {
	where := t.at(1, 1, "$")
	var detailed yaml.Error
	if !errors.As(err, &detailed) {
		t.problems.at(where, "%v", err)
		return
	}
	if token := detailed.GetToken(); token != nil && token.Position != nil {
		where = t.at(token.Position.Line, token.Position.Column, "$")
	}
	t.problems.at(where, "%s", detailed.GetMessage())
}

func (t *treeBuilder) build(node ast.Node, path string, depth int) *value {
	v := &value{place: t.nodePlace(node, path)}
	if depth > maxDepth {
		t.problems.at(v.place, "nested deeper than %d", maxDepth)
		return v
	}
	switch n := node.(type) {
	case *ast.MappingNode:
		t.buildMap(v, n.Values, depth)
		if n.IsFlowStyle {
			v.place = t.nodePlace(node, path)
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
			t.problems.at(t.nodePlace(entry.Key, v.path), "the key is not a string")
			continue
		}
		where := t.nodePlace(entry.Key, v.path+"."+key.Value)
		if i == 0 {
			v.line, v.column = where.line, where.column
		}
		item := t.build(entry.Value, where.path, depth+1)
		v.fields = append(v.fields, field{key: key.Value, place: where, value: item})
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
			t.problems.at(v.place, "the number is out of range")
		}
	case *ast.InfinityNode, *ast.NanNode:
		t.problems.at(v.place, "the number is out of range")
	case *ast.StringNode:
		v.kind, v.text = kindString, n.Value
	case *ast.LiteralNode:
		v.kind, v.text = kindString, n.Value.Value
	default:
		t.problems.at(v.place, "%s is not supported here", node.Type())
	}
}

func (t *treeBuilder) buildInteger(v *value, n *ast.IntegerNode) {
	v.kind = kindInteger
	switch number := n.Value.(type) {
	case int64:
		v.integer = number
	case uint64:
		if number > math.MaxInt64 {
			t.problems.at(v.place, "the integer is out of range")
			return
		}
		v.integer = int64(number)
	default:
		t.problems.at(v.place, "the integer is out of range")
	}
}

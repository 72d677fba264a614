package config

import (
	"encoding/json"
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
)

// source is one parsed YAML file.
type source struct {
	name string
	// tree holds the content as maps, slices and scalars of the types that encoding/json uses.
	tree any
	// lines maps each field path to its line, counted from 1.
	lines map[string]int
}

// parseSource parses a file with one YAML document. An empty file is an empty mapping. Errors are of type *FieldError.
func parseSource(name string, data []byte) (*source, error) {
	s := &source{name: name, lines: map[string]int{}}
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, s.syntaxError(err)
	}
	if len(file.Docs) > 1 {
		return nil, &FieldError{File: name, Line: lineOf(file.Docs[1]), Problem: "a file holds one YAML document"}
	}
	s.tree = map[string]any{}
	if len(file.Docs) == 0 || isEmpty(file.Docs[0].Body) {
		return s, nil
	}
	tree, err := s.convert("", file.Docs[0].Body)
	if err != nil {
		return nil, err
	}
	if _, ok := tree.(map[string]any); !ok {
		return nil, &FieldError{File: name, Line: 1, Problem: "the file must hold a mapping"}
	}
	s.tree = tree
	return s, nil
}

func isEmpty(n ast.Node) bool {
	if n == nil {
		return true
	}
	kind := n.Type()
	return kind == ast.NullType || kind == ast.CommentType
}

func (s *source) syntaxError(err error) error {
	fe := &FieldError{File: s.name, Line: 1, Problem: err.Error()}
	var detail yaml.Error
	if errors.As(err, &detail) {
		fe.Problem = detail.GetMessage()
		if t := detail.GetToken(); t != nil && t.Position != nil {
			fe.Line = t.Position.Line
		}
	}
	return fe
}

// convert returns the value of a node and records the lines of path and of all paths below it.
func (s *source) convert(path string, n ast.Node) (any, error) {
	if _, ok := s.lines[path]; !ok {
		s.lines[path] = lineOf(n)
	}
	switch n := n.(type) {
	case *ast.MappingNode:
		return s.convertMapping(path, n.Values)
	case *ast.MappingValueNode:
		return s.convertMapping(path, []*ast.MappingValueNode{n})
	case *ast.SequenceNode:
		return s.convertSequence(path, n.Values)
	case *ast.StringNode:
		return n.Value, nil
	case *ast.LiteralNode:
		return n.Value.Value, nil
	case *ast.BoolNode:
		return n.Value, nil
	case *ast.IntegerNode:
		return json.Number(fmt.Sprint(n.Value)), nil
	case *ast.FloatNode:
		return n.Value, nil
	case *ast.NullNode, nil:
		return nil, nil
	}
	return nil, &FieldError{
		File: s.name, Line: lineOf(n), Field: path,
		Problem: fmt.Sprintf("%s is not accepted; write plain mappings, lists and scalars", n.Type()),
	}
}

func (s *source) convertMapping(path string, values []*ast.MappingValueNode) (any, error) {
	out := make(map[string]any, len(values))
	for _, v := range values {
		if v.Key.IsMergeKey() {
			return nil, &FieldError{File: s.name, Line: lineOf(v.Key), Field: path, Problem: "merge keys are not accepted"}
		}
		key := v.Key.GetToken().Value
		child := joinPath(path, key)
		if _, ok := out[key]; ok {
			return nil, &FieldError{File: s.name, Line: lineOf(v.Key), Field: child, Problem: "the key occurs twice"}
		}
		s.lines[child] = lineOf(v.Key)
		value, err := s.convert(child, v.Value)
		if err != nil {
			return nil, err
		}
		out[key] = value
	}
	return out, nil
}

func (s *source) convertSequence(path string, values []ast.Node) (any, error) {
	out := make([]any, len(values))
	for i, v := range values {
		value, err := s.convert(indexPath(path, i), v)
		if err != nil {
			return nil, err
		}
		out[i] = value
	}
	return out, nil
}

func lineOf(n ast.Node) int {
	if n == nil || n.GetToken() == nil || n.GetToken().Position == nil {
		return 1
	}
	return n.GetToken().Position.Line
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func indexPath(path string, i int) string {
	return fmt.Sprintf("%s[%d]", path, i)
}

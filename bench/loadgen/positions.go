package loadgen

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
)

// checkDurations returns the line and path of the first duration of a load file that cannot be parsed, and the reason. The YAML
// library reports such values without their position. Errors of the syntax are left to the decoder.
func checkDurations(data []byte) (line int, field string, err error) {
	file, parseErr := parser.ParseBytes(data, 0)
	if parseErr != nil {
		return 0, "", nil
	}
	for _, doc := range file.Docs {
		if line, field, err := checkNodeDurations(reflect.TypeFor[Spec](), doc.Body, ""); err != nil {
			return line, field, err
		}
	}
	return 0, "", nil
}

// checkNodeDurations checks the durations of a node that is decoded into a value of type t. path is the path of the node.
func checkNodeDurations(t reflect.Type, node ast.Node, path string) (line int, field string, err error) {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch n := node.(type) {
	case *ast.MappingNode:
		for _, value := range n.Values {
			if line, field, err := checkFieldDurations(t, value, path); err != nil {
				return line, field, err
			}
		}
	case *ast.MappingValueNode:
		return checkFieldDurations(t, n, path)
	case *ast.SequenceNode:
		if t.Kind() != reflect.Slice {
			break
		}
		for i, value := range n.Values {
			if line, field, err := checkNodeDurations(t.Elem(), value, fmt.Sprintf("%s[%d]", path, i)); err != nil {
				return line, field, err
			}
		}
	case ast.ScalarNode:
		text := fmt.Sprint(n.GetValue())
		if t != reflect.TypeFor[time.Duration]() || n.Type() == ast.NullType {
			break
		}
		if _, err := time.ParseDuration(text); err != nil {
			return n.GetToken().Position.Line, path, errors.Errorf("%q must be a time with a unit, for example 30s", text)
		}
	}
	return 0, "", nil
}

// checkFieldDurations checks the durations of one field of a struct of type t at path.
func checkFieldDurations(t reflect.Type, value *ast.MappingValueNode, path string) (line int, field string, err error) {
	if t.Kind() != reflect.Struct {
		return 0, "", nil
	}
	key := value.Key.GetToken().Value
	for i := range t.NumField() {
		if name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ","); name == key {
			return checkNodeDurations(t.Field(i).Type, value.Value, strings.TrimPrefix(path+"."+key, "."))
		}
	}
	return 0, "", nil
}

// lineOf returns the line of a field such as requests[1].rate, or of the nearest enclosing field if the file does not set it.
func lineOf(data []byte, field string) int {
	line := 1
	file, err := parser.ParseBytes(data, 0)
	if err != nil || len(file.Docs) == 0 {
		return line
	}
	node := file.Docs[0].Body
	for _, segment := range strings.FieldsFunc(field, func(r rune) bool { return strings.ContainsRune(".[]", r) }) {
		found := false
		switch n := node.(type) {
		case *ast.MappingNode:
			for _, value := range n.Values {
				if value.Key.GetToken().Value == segment {
					line, node, found = value.Key.GetToken().Position.Line, value.Value, true
				}
			}
		case *ast.MappingValueNode:
			if n.Key.GetToken().Value == segment {
				line, node, found = n.Key.GetToken().Position.Line, n.Value, true
			}
		case *ast.SequenceNode:
			if i, err := strconv.Atoi(segment); err == nil && i >= 0 && i < len(n.Values) {
				line, node, found = n.Values[i].GetToken().Position.Line, n.Values[i], true
			}
		}
		if !found {
			break
		}
	}
	return line
}

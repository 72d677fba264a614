package loadgen

import (
	"fmt"
	"reflect"
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

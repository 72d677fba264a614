package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

var durationType = reflect.TypeFor[Duration]()

// checkSchema checks JSON text against the fields and types of Document. Unlike encoding/json it reports all problems
// with their paths, and accepts field names only in their exact case.
func checkSchema(data []byte) []FieldError {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var tree any
	if err := decoder.Decode(&tree); err != nil {
		return []FieldError{{Problem: err.Error()}}
	}
	c := &schemaChecker{}
	c.check("", tree, reflect.TypeFor[Document]())
	return c.errs
}

type schemaChecker struct{ errs []FieldError }

func (c *schemaChecker) fail(path, format string, args ...any) {
	c.errs = append(c.errs, FieldError{Field: path, Problem: fmt.Sprintf(format, args...)})
}

func (c *schemaChecker) check(path string, value any, want reflect.Type) {
	if want == durationType {
		c.checkDuration(path, value)
		return
	}
	switch want.Kind() {
	case reflect.Pointer:
		c.check(path, value, want.Elem())
	case reflect.Struct:
		c.checkStruct(path, value, want)
	case reflect.Map:
		c.checkMap(path, value, want)
	case reflect.Slice:
		c.checkSlice(path, value, want)
	case reflect.String:
		if _, ok := value.(string); !ok {
			c.fail(path, "%s is not a string", describe(value))
		}
	case reflect.Bool:
		if _, ok := value.(bool); !ok {
			c.fail(path, "%s is not true or false", describe(value))
		}
	case reflect.Int:
		c.checkInt(path, value)
	case reflect.Float64:
		c.checkFloat(path, value)
	}
}

func (c *schemaChecker) checkStruct(path string, value any, want reflect.Type) {
	object, ok := value.(map[string]any)
	if !ok {
		c.fail(path, "%s is not a mapping", describe(value))
		return
	}
	fields := structFields(want)
	for _, key := range sortedKeys(object) {
		field, ok := fields[key]
		if !ok {
			c.fail(joinPath(path, key), "unknown field; known fields are %s", strings.Join(sortedKeys(fields), ", "))
			continue
		}
		c.check(joinPath(path, key), object[key], field)
	}
}

func (c *schemaChecker) checkMap(path string, value any, want reflect.Type) {
	object, ok := value.(map[string]any)
	if !ok {
		c.fail(path, "%s is not a mapping of names", describe(value))
		return
	}
	for _, key := range sortedKeys(object) {
		c.check(joinPath(path, key), object[key], want.Elem())
	}
}

func (c *schemaChecker) checkSlice(path string, value any, want reflect.Type) {
	list, ok := value.([]any)
	if !ok {
		c.fail(path, "%s is not a list", describe(value))
		return
	}
	for i, element := range list {
		c.check(indexPath(path, i), element, want.Elem())
	}
}

func (c *schemaChecker) checkDuration(path string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		c.fail(path, "%s is not a duration", describe(value))
		return
	}
	var d Duration
	if err := d.UnmarshalJSON(data); err != nil {
		c.fail(path, "%s", err)
	}
}

func (c *schemaChecker) checkInt(path string, value any) {
	number, ok := value.(json.Number)
	if !ok {
		c.fail(path, "%s is not a whole number", describe(value))
		return
	}
	if _, err := number.Int64(); err != nil {
		c.fail(path, "%s is not a whole number", number)
	}
}

func (c *schemaChecker) checkFloat(path string, value any) {
	number, ok := value.(json.Number)
	if !ok {
		c.fail(path, "%s is not a number", describe(value))
		return
	}
	if _, err := number.Float64(); err != nil {
		c.fail(path, "%s is not a number", number)
	}
}

// structFields returns the types of a struct's fields, keyed by their JSON names.
func structFields(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, t.NumField())
	for field := range t.Fields() {
		fields[jsonName(field)] = field.Type
	}
	return fields
}

func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

func describe(value any) string {
	switch v := value.(type) {
	case nil:
		return "an empty value"
	case map[string]any:
		return "a mapping"
	case []any:
		return "a list"
	case string:
		return fmt.Sprintf("%q", v)
	}
	return fmt.Sprint(value)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

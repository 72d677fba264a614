// Package wiretest checks that messages of other builds of the fleet can still be read. Only tests use it.
//
// A file testdata/wire/COMMIT.json holds one message of each form as the build of that commit encodes it, with a value in each
// field. Files are never changed: a build that adds a field or a method gets a file of its own, which
// "go test ./PACKAGE -run TestWireForms -args -wiretest.write COMMIT" writes.
package wiretest

import (
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"
)

var write = flag.String("wiretest.write", "", "write testdata/wire/NAME.json")

const folder = "testdata/wire"

// Check decodes each message in the files of testdata/wire into the type of the form with its name, and encodes it again. It
// fails for a value that is lost, as it is after a field was renamed or removed, for a message without a form, and for a form
// without a message. Fields that the message does not have are ignored. The values of forms have the types of the messages.
func Check(t *testing.T, forms map[string]any) {
	t.Helper()
	if *write != "" {
		writeFile(t, forms)
	}
	files, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for _, file := range files {
		for name, message := range readFile(t, file) {
			form, ok := forms[name]
			if !ok {
				t.Errorf("%s: no form %q", file, name)
				continue
			}
			seen[name] = true
			if err := checkMessage(form, message); err != nil {
				t.Errorf("%s: %s: %v", file, name, err)
			}
		}
	}
	for name := range forms {
		if !seen[name] {
			t.Errorf("no message in %s has the form %q", folder, name)
		}
	}
}

func readFile(t *testing.T, file string) map[string]json.RawMessage {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	messages := map[string]json.RawMessage{}
	if err := json.Unmarshal(data, &messages); err != nil {
		t.Fatalf("%s: %v", file, err)
	}
	return messages
}

func checkMessage(form any, message []byte) error {
	decoded := reflect.New(reflect.TypeOf(form))
	if err := json.Unmarshal(message, decoded.Interface()); err != nil {
		return err
	}
	again, err := json.Marshal(decoded.Interface())
	if err != nil {
		return err
	}
	var want, got any
	if err := json.Unmarshal(message, &want); err != nil {
		return err
	}
	if err := json.Unmarshal(again, &got); err != nil {
		return err
	}
	return checkValues("", want, got)
}

// checkValues reports the first value of want that got does not have.
func checkValues(path string, want, got any) error {
	switch want := want.(type) {
	case map[string]any:
		object, _ := got.(map[string]any)
		for _, name := range slices.Sorted(maps.Keys(want)) {
			value, ok := object[name]
			if !ok {
				return fmt.Errorf("field %s.%s is lost", path, name)
			}
			if err := checkValues(path+"."+name, want[name], value); err != nil {
				return err
			}
		}
	case []any:
		list, _ := got.([]any)
		if len(list) != len(want) {
			return fmt.Errorf("%s has %d elements, want %d", path, len(list), len(want))
		}
		for i := range want {
			if err := checkValues(fmt.Sprintf("%s[%d]", path, i), want[i], list[i]); err != nil {
				return err
			}
		}
	default:
		if want != got {
			return fmt.Errorf("%s is %v, want %v", path, got, want)
		}
	}
	return nil
}

func writeFile(t *testing.T, forms map[string]any) {
	t.Helper()
	messages := map[string]any{}
	for name, form := range forms {
		value := reflect.New(reflect.TypeOf(form))
		f := filler{}
		f.fill(value.Elem())
		messages[name] = value.Interface()
	}
	data, err := json.MarshalIndent(messages, "", "\t")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(folder, *write+".json"), append(data, '\n'), 0o644); err != nil {
		t.Fatal(err)
	}
}

// filler sets values that differ from each other.
type filler struct{ n int64 }

// fill sets v and all that it holds to values other than zero. Functions and interfaces stay as they are.
func (f *filler) fill(v reflect.Value) {
	switch v.Interface().(type) {
	case time.Time:
		v.Set(reflect.ValueOf(time.Date(2026, 12, 5, 20, 25, 3, 0, time.UTC)))
		return
	case json.RawMessage:
		v.Set(reflect.ValueOf(json.RawMessage(`{"raw":1}`)))
		return
	}
	f.n++
	n := f.n % 100 // fits into each type of integer
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(n)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(n))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(n) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprint("text-", n))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		f.fill(v.Index(0))
	case reflect.Array:
		f.fill(v.Index(v.Len() - 1))
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key)
		f.fill(value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				f.fill(v.Field(i))
			}
		}
	}
}

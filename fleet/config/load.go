package config

import (
	"bytes"
	"encoding/json"
	"strings"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/pkg/errors"
)

// Load parses a base file and a site overlay, merges the overlay into the base as an RFC 7396 merge patch, sets
// defaults and validates the result. An empty overlay changes nothing. names are the names of the base file and the
// overlay file for error messages. Errors about the content are of type *FieldError or FieldErrors.
func Load(base, overlay []byte, names [2]string) (*Document, error) {
	baseSource, err := parseSource(names[0], base)
	if err != nil {
		return nil, err
	}
	overlaySource, err := parseSource(names[1], overlay)
	if err != nil {
		return nil, err
	}
	merged, err := mergeTrees(baseSource.tree, overlaySource.tree)
	if err != nil {
		return nil, err
	}
	locate := locator{base: baseSource, overlay: overlaySource}
	if errs := checkSchema(merged); len(errs) > 0 {
		return nil, locate.addPositions(errs)
	}
	doc, err := decodeDocument(merged)
	if err != nil {
		return nil, err
	}
	doc.SetDefaults()
	if errs := doc.Validate(); len(errs) > 0 {
		return nil, locate.addPositions(errs)
	}
	if errs := doc.checkRoutePaths(); len(errs) > 0 {
		return nil, locate.addPositions(errs)
	}
	return doc, nil
}

// mergeTrees returns the JSON text of base with the merge patch applied.
func mergeTrees(base, patch any) ([]byte, error) {
	baseJSON, err := json.Marshal(base)
	if err != nil {
		return nil, errors.Wrap(err, "encode base")
	}
	patchJSON, err := json.Marshal(patch)
	if err != nil {
		return nil, errors.Wrap(err, "encode overlay")
	}
	merged, err := jsonpatch.MergePatch(baseJSON, patchJSON)
	return merged, errors.Wrap(err, "merge overlay into base")
}

func decodeDocument(data []byte) (*Document, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	doc := &Document{}
	if err := decoder.Decode(doc); err != nil {
		return nil, &FieldError{Problem: err.Error()}
	}
	return doc, nil
}

// locator finds the file and line of a field in the base file and the overlay.
type locator struct{ base, overlay *source }

// addPositions sets the file and line of each problem and returns the problems as an error.
func (l locator) addPositions(errs []FieldError) error {
	for i := range errs {
		errs[i].File, errs[i].Line = l.find(errs[i].Field)
	}
	sortErrors(errs)
	return FieldErrors(errs).asError()
}

// find returns the file and line of a field, in the overlay if it has the field, because the overlay overrides the
// base. For a field that is in neither file it returns the position of the nearest enclosing field.
func (l locator) find(field string) (string, int) {
	for path := field; ; path = parentPath(path) {
		for _, s := range []*source{l.overlay, l.base} {
			if line, ok := s.lines[path]; ok && path != "" {
				return s.name, line
			}
		}
		if path == "" {
			return l.base.name, 1
		}
	}
}

func parentPath(path string) string {
	if i := strings.LastIndexAny(path, ".["); i >= 0 {
		return path[:i]
	}
	return ""
}

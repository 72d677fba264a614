package config

import (
	"bytes"
	"encoding/json"
	"strings"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/pkg/errors"
)

// Load reads a base file and a site overlay, merges the overlay into the base as an RFC 7396 merge patch, fills
// defaults and validates the result. An empty overlay changes nothing. names are the file names for error messages.
// Errors about the content are of type *FieldError or FieldErrors.
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
		return nil, locate.fill(errs)
	}
	doc, err := decodeDocument(merged)
	if err != nil {
		return nil, err
	}
	doc.SetDefaults()
	if errs := doc.Validate(); len(errs) > 0 {
		return nil, locate.fill(errs)
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

// locator finds the file and line of a field.
type locator struct{ base, overlay *source }

func (l locator) fill(errs []FieldError) error {
	for i := range errs {
		errs[i].File, errs[i].Line = l.find(errs[i].Field)
	}
	sortErrors(errs)
	return FieldErrors(errs).asError()
}

// find prefers the overlay, which overrides the base. A field that neither file has is reported at the nearest
// enclosing field.
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

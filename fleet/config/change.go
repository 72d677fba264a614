package config

import (
	"maps"
	"reflect"
	"slices"
)

// Change lists the entries by which two documents differ. Each entry is set or removed as a whole, not field by field.
type Change struct {
	Domains   Entries[Domain]   `json:"domains,omitzero"`
	Services  Entries[Service]  `json:"services,omitzero"`
	Routes    Entries[Route]    `json:"routes,omitzero"`
	Teams     Entries[Team]     `json:"teams,omitzero"`
	Operators Entries[Operator] `json:"operators,omitzero"`
}

// Entries are the changed entries of one map of a Document.
type Entries[T any] struct {
	Set    map[string]T `json:"set,omitempty"`
	Remove []string     `json:"remove,omitempty"`
}

// IsZero reports whether nothing changes.
func (e Entries[T]) IsZero() bool { return len(e.Set) == 0 && len(e.Remove) == 0 }

// IsZero reports whether nothing changes.
func (c Change) IsZero() bool {
	return c.Domains.IsZero() && c.Services.IsZero() && c.Routes.IsZero() && c.Teams.IsZero() && c.Operators.IsZero()
}

// Diff returns the change that turns old into new.
func Diff(old, new *Document) Change {
	return Change{
		Domains:   diffMap(old.Domains, new.Domains),
		Services:  diffMap(old.Services, new.Services),
		Routes:    diffMap(old.Routes, new.Routes),
		Teams:     diffMap(old.Teams, new.Teams),
		Operators: diffMap(old.Operators, new.Operators),
	}
}

// Apply returns a copy of the document with the change applied, after validating all of it. The error is of type
// FieldErrors.
func (d *Document) Apply(c Change) (*Document, error) {
	if errs := d.checkRemovals(c); len(errs) > 0 {
		return nil, FieldErrors(errs)
	}
	changed := d.clone()
	changed.Patch(c)
	if errs := changed.Validate(); len(errs) > 0 {
		return nil, FieldErrors(errs)
	}
	return changed, nil
}

// Patch applies the change to the document in place, without validation.
func (d *Document) Patch(c Change) {
	patchMap(d.Domains, c.Domains)
	patchMap(d.Services, c.Services)
	patchMap(d.Routes, c.Routes)
	patchMap(d.Teams, c.Teams)
	patchMap(d.Operators, c.Operators)
}

// Inverse returns the change that undoes c. It must be called before c is applied to the document.
func (d *Document) Inverse(c Change) Change {
	return Change{
		Domains:   inverseMap(d.Domains, c.Domains),
		Services:  inverseMap(d.Services, c.Services),
		Routes:    inverseMap(d.Routes, c.Routes),
		Teams:     inverseMap(d.Teams, c.Teams),
		Operators: inverseMap(d.Operators, c.Operators),
	}
}

// ChangedFields returns the sorted paths of what c changes in the document: the entry where one is added or removed,
// and the differing fields where an entry changes.
func (d *Document) ChangedFields(c Change) []string {
	var fields []string
	fields = append(fields, changedFields("domains", d.Domains, c.Domains)...)
	fields = append(fields, changedFields("services", d.Services, c.Services)...)
	fields = append(fields, changedFields("routes", d.Routes, c.Routes)...)
	fields = append(fields, changedFields("teams", d.Teams, c.Teams)...)
	fields = append(fields, changedFields("operators", d.Operators, c.Operators)...)
	slices.Sort(fields)
	return fields
}

// checkRemovals reports entries that the change removes although they do not exist or although it sets them as well.
func (d *Document) checkRemovals(c Change) []FieldError {
	var errs []FieldError
	errs = append(errs, checkEntries("domains", d.Domains, c.Domains)...)
	errs = append(errs, checkEntries("services", d.Services, c.Services)...)
	errs = append(errs, checkEntries("routes", d.Routes, c.Routes)...)
	errs = append(errs, checkEntries("teams", d.Teams, c.Teams)...)
	errs = append(errs, checkEntries("operators", d.Operators, c.Operators)...)
	return errs
}

func (d *Document) clone() *Document {
	c := &Document{
		Domains:   maps.Clone(d.Domains),
		Services:  maps.Clone(d.Services),
		Routes:    maps.Clone(d.Routes),
		Teams:     maps.Clone(d.Teams),
		Operators: maps.Clone(d.Operators),
	}
	c.initMaps()
	return c
}

func diffMap[T any](old, new map[string]T) Entries[T] {
	var e Entries[T]
	for name, value := range new {
		if before, ok := old[name]; ok && reflect.DeepEqual(before, value) {
			continue
		}
		if e.Set == nil {
			e.Set = map[string]T{}
		}
		e.Set[name] = value
	}
	for name := range old {
		if _, ok := new[name]; !ok {
			e.Remove = append(e.Remove, name)
		}
	}
	slices.Sort(e.Remove)
	return e
}

func patchMap[T any](m map[string]T, e Entries[T]) {
	for name, value := range e.Set {
		m[name] = value
	}
	for _, name := range e.Remove {
		delete(m, name)
	}
}

func inverseMap[T any](m map[string]T, e Entries[T]) Entries[T] {
	inverse := Entries[T]{Set: map[string]T{}}
	for name := range e.Set {
		if before, ok := m[name]; ok {
			inverse.Set[name] = before
		} else {
			inverse.Remove = append(inverse.Remove, name)
		}
	}
	for _, name := range e.Remove {
		inverse.Set[name] = m[name]
	}
	slices.Sort(inverse.Remove)
	return inverse
}

func checkEntries[T any](kind string, m map[string]T, e Entries[T]) []FieldError {
	var errs []FieldError
	for _, name := range e.Remove {
		_, exists := m[name]
		_, set := e.Set[name]
		if !exists || set {
			errs = append(errs, FieldError{Field: joinPath(kind, name), Problem: "cannot be removed: it does not exist or is also set"})
		}
	}
	return errs
}

func changedFields[T any](kind string, m map[string]T, e Entries[T]) []string {
	var fields []string
	for name, value := range e.Set {
		path := joinPath(kind, name)
		before, ok := m[name]
		if !ok {
			fields = append(fields, path)
			continue
		}
		fields = append(fields, differingFields(path, before, value)...)
	}
	for _, name := range e.Remove {
		fields = append(fields, joinPath(kind, name))
	}
	return fields
}

func differingFields(path string, a, b any) []string {
	var fields []string
	before, after := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range before.NumField() {
		if !reflect.DeepEqual(before.Field(i).Interface(), after.Field(i).Interface()) {
			fields = append(fields, joinPath(path, jsonName(before.Type().Field(i))))
		}
	}
	return fields
}

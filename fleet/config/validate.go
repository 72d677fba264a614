package config

import (
	"cmp"
	"slices"
)

// Validate returns all problems of a document, sorted by field. SetDefaults must have been called on the document.
func (d *Document) Validate() []FieldError {
	c := &checker{doc: d}
	eachSorted(d.Domains, c.checkDomain)
	eachSorted(d.Services, c.checkService)
	eachSorted(d.Routes, c.checkRoute)
	eachSorted(d.Teams, c.checkTeam)
	eachSorted(d.Operators, c.checkOperator)
	c.checkDuplicateRoutes()
	c.checkDuplicateKeys()
	c.checkOperators()
	return c.sorted()
}

// KeyOwner returns the team that lists a key hash.
type KeyOwner func(keyHash string) (team string, ok bool)

// PatchChecked applies the change to the document in place if the result is valid; otherwise it leaves the document
// unchanged and returns the problems. The document must be valid before the call. Only entries that the change can make
// invalid are checked, so that the cost does not grow with the number of teams. owner must return the owners in the
// document before the change.
func (d *Document) PatchChecked(c Change, owner KeyOwner) []FieldError {
	if errs := d.checkRemovals(c); len(errs) > 0 {
		return errs
	}
	inverse := d.Inverse(c)
	d.Patch(c)
	errs := d.checkChange(c, owner)
	if len(errs) > 0 {
		d.Patch(inverse)
	}
	return errs
}

// checkChange validates the entries that c can have made invalid. c must have been applied to the document.
func (d *Document) checkChange(c Change, owner KeyOwner) []FieldError {
	check := &checker{doc: d}
	eachSorted(c.Domains.Set, check.checkDomain)
	eachSorted(c.Teams.Set, check.checkTeam)
	eachSorted(c.Operators.Set, check.checkOperator)
	if len(c.Domains.Remove) > 0 {
		eachSorted(d.Services, check.checkService)
	} else {
		eachSorted(c.Services.Set, check.checkService)
	}
	if len(c.Services.Remove) > 0 || len(c.Teams.Remove) > 0 {
		eachSorted(d.Routes, check.checkRoute)
	} else {
		eachSorted(c.Routes.Set, check.checkRoute)
	}
	if len(c.Routes.Set) > 0 {
		check.checkDuplicateRoutes()
	}
	check.checkChangedKeys(c.Teams, owner)
	check.checkOperators()
	return check.sorted()
}

// sorted returns the problems sorted by field, without duplicates.
func (c *checker) sorted() []FieldError {
	slices.SortStableFunc(c.errs, func(a, b FieldError) int { return cmp.Compare(a.Field, b.Field) })
	return slices.Compact(c.errs)
}

func eachSorted[T any](m map[string]T, f func(name string, value T)) {
	for _, name := range sortedKeys(m) {
		f(name, m[name])
	}
}

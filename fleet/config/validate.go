package config

import (
	"cmp"
	"slices"
)

// Validate returns all problems of a document whose defaults are filled, sorted by field.
func (d *Document) Validate() []FieldError {
	c := &checker{doc: d}
	eachSorted(d.Domains, c.checkDomain)
	eachSorted(d.Services, c.checkService)
	eachSorted(d.Routes, c.checkRoute)
	eachSorted(d.Teams, c.checkTeam)
	eachSorted(d.Operators, c.checkOperator)
	c.checkRoutesDiffer()
	c.checkKeysDiffer()
	c.checkOperators()
	return c.sorted()
}

// KeyOwner returns the team that holds a key hash.
type KeyOwner func(keyHash string) (team string, ok bool)

// PatchChecked changes the document in place where the result is valid, and leaves it unchanged otherwise. The document
// must be valid before. It looks only at entries that the change can make invalid, so that its cost does not grow with
// the number of teams. owner answers for the document before the change.
func (d *Document) PatchChecked(c Change, owner KeyOwner) []FieldError {
	if errs := d.checkTargets(c); len(errs) > 0 {
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

// checkChange validates what c can have made invalid; c is applied already.
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
		check.checkRoutesDiffer()
	}
	check.checkKeysUnowned(c.Teams, owner)
	check.checkOperators()
	return check.sorted()
}

// sorted orders problems by field and drops repeated ones.
func (c *checker) sorted() []FieldError {
	slices.SortStableFunc(c.errs, func(a, b FieldError) int { return cmp.Compare(a.Field, b.Field) })
	return slices.Compact(c.errs)
}

func eachSorted[T any](m map[string]T, f func(name string, value T)) {
	for _, name := range sortedKeys(m) {
		f(name, m[name])
	}
}

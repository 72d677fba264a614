package config

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func init() { flag.Set("rapid.seed", "1") }

func loadExample(t testing.TB, dir, site string) *Document {
	t.Helper()
	base, err := os.ReadFile(filepath.Join("../../examples", dir, "base.yaml"))
	assert.NilError(t, err)
	overlay, err := os.ReadFile(filepath.Join("../../examples", dir, site))
	assert.NilError(t, err)
	doc, err := Load(base, overlay, [2]string{"base.yaml", site})
	assert.NilError(t, err)
	return doc
}

// Guards against examples that no longer load or no longer have the sizes on the design page.
func TestExamplesHaveDesignSizes(t *testing.T) {
	tests := []struct {
		desc, dir, site, region string
		domains, slots          int
		services                []string
	}{
		{"Glashelder", "glashelder", "nl-west.yaml", "nl-west", 3, 5, []string{"incasso", "planning", "rondes"}},
		{"Akmola", "akmola", "astana.yaml", "astana", 4, 7, []string{"approval-office", "preview-desk", "proof-room"}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			doc := loadExample(t, test.dir, test.site)
			assert.Equal(t, len(doc.Domains), test.domains)
			assert.Equal(t, len(doc.Teams), 8)
			assert.DeepEqual(t, sortedKeys(doc.Services), test.services)
			for _, s := range doc.Services {
				assert.Equal(t, s.Slots, test.slots)
				assert.Equal(t, s.Connections, 400)
			}
			for _, d := range doc.Domains {
				assert.Equal(t, d.Region, test.region)
			}
		})
	}
}

// drawChange draws a change that is often invalid: it has references to missing entries, keys that two teams share, and
// removals of missing entries.
func drawChange(t *rapid.T) Change {
	var c Change
	names := []string{"a", "b", "c"}
	drawNames := func(label string) []string {
		return rapid.SliceOfNDistinct(rapid.SampledFrom(names), 0, 2, rapid.ID).Draw(t, label)
	}
	c.Domains = drawEntries(t, "domain", drawNames, func() Domain { return Domain{Region: "r"} })
	c.Services = drawEntries(t, "service", drawNames, func() Service {
		return Service{Domains: drawNames("in"), Slots: 1, Connections: 1, FloorPercent: 50}
	})
	c.Routes = drawEntries(t, "route", drawNames, func() Route {
		path := "/" + rapid.SampledFrom(names).Draw(t, "path")
		return Route{Path: path, Service: rapid.SampledFrom(names).Draw(t, "to"), Access: AccessOpen, Teams: drawNames("for")}
	})
	c.Teams = drawEntries(t, "team", drawNames, func() Team {
		keys := drawNames("keys")
		for i := range keys {
			keys[i] = HashKey(keys[i])
		}
		return Team{Rate: 1, Burst: rapid.IntRange(0, 8).Draw(t, "burst"), KeyHashes: keys}
	})
	c.SetDefaults()
	return c
}

func drawEntries[T any](t *rapid.T, kind string, drawNames func(string) []string, draw func() T) Entries[T] {
	var e Entries[T]
	if !rapid.Bool().Draw(t, kind) {
		return e
	}
	e.Set = map[string]T{}
	for _, name := range drawNames(kind + " set") {
		e.Set[name] = draw()
	}
	if rapid.Bool().Draw(t, kind+" removes") {
		e.Remove = drawNames(kind + " remove")
	}
	return e
}

func keyOwners(doc *Document) map[string]string {
	owners := map[string]string{}
	for name, team := range doc.Teams {
		for _, hash := range team.KeyHashes {
			owners[hash] = name
		}
	}
	return owners
}

// Guards against an incremental check that disagrees with the full check, a refused change that alters the document,
// and a Diff that does not turn one document into the other.
func TestPatchCheckedAgreesWithApply(t *testing.T) {
	accepted, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		doc := &Document{}
		doc.SetDefaults()
		for range rapid.IntRange(5, 30).Draw(t, "steps") {
			c := drawChange(t)
			owners := keyOwners(doc)
			owner := func(hash string) (string, bool) {
				team, ok := owners[hash]
				return team, ok
			}
			before := doc.Hash()
			want, err := doc.Apply(c)
			assert.Equal(t, doc.Hash(), before)
			errs := doc.PatchChecked(c, owner)
			assert.Equal(t, len(errs) == 0, err == nil, "full check: %v, incremental check: %v", err, errs)
			if err != nil {
				refused++
				assert.Equal(t, doc.Hash(), before)
				continue
			}
			accepted++
			assert.DeepEqual(t, doc, want)
			empty := &Document{}
			rebuilt, err := empty.Apply(Diff(empty, doc))
			assert.NilError(t, err)
			assert.Equal(t, rebuilt.Hash(), doc.Hash())
		}
	})
	t.Logf("%d changes accepted, %d refused", accepted, refused)
	assert.Assert(t, accepted > 100 && refused > 100)
}

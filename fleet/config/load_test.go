package config

import (
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

const testBase = `domains:
  d1: {region: r}
  d2: {region: r}
services:
  web:
    slots: 5
    connections: 400
    floorPercent: 60
routes:
  home:
    path: /
    service: web
    access: open
teams:
  red: {rate: 10, burst: 20}
  blue: {rate: 5.5, burst: 10}
`

func TestLoadMergesOverlay(t *testing.T) {
	overlay := `
services:
  web: {slots: 7, queue: {maxWait: 2s}}
teams:
  red: null
  blue: {burst: 40}
routes:
  home: {repeatableMethods: []}
`
	doc, err := Load([]byte(testBase), []byte(overlay), [2]string{"base.yaml", "site.yaml"})
	assert.NilError(t, err)
	assert.Equal(t, doc.Services["web"].Slots, 7)
	assert.Equal(t, doc.Services["web"].Connections, 400)
	assert.Equal(t, doc.Services["web"].Queue.Length, 28)
	assert.Equal(t, doc.Services["web"].Queue.MaxWait.Std().String(), "2s")
	assert.DeepEqual(t, doc.Teams, map[string]Team{"blue": {Rate: 5.5, Burst: 40}})
	assert.DeepEqual(t, doc.Routes["home"].RepeatableMethods, []string{})
}

// Guards against a default that is written into the document, which older members of the control group would refuse.
func TestConcurrencyDefault(t *testing.T) {
	for overlay, want := range map[string]string{
		"services: {web: {slots: 5}}":              "",
		"services: {web: {concurrency: ramp}}":     "",
		"services: {web: {concurrency: adaptive}}": ConcurrencyAdaptive,
	} {
		doc, err := Load([]byte(testBase), []byte(overlay), [2]string{"base.yaml", "site.yaml"})
		assert.NilError(t, err)
		assert.Equal(t, doc.Services["web"].Concurrency, want, overlay)
	}
}

// Guards against errors that report the wrong file, line or field.
func TestLoadReportsFileLineAndField(t *testing.T) {
	tests := []struct {
		desc, base, overlay string
		want                FieldError
	}{
		{"syntax error", "a: [", "", FieldError{"base.yaml", 1, "", ""}},
		{"unknown field in overlay", testBase, "services:\n  web:\n    slot: 1\n", FieldError{"site.yaml", 3, "services.web.slot", ""}},
		{"field in wrong case", testBase, "services: {web: {Slots: 1}}", FieldError{"site.yaml", 1, "services.web.Slots", ""}},
		{"duration without unit", testBase, "services: {web: {connectTimeout: 5}}", FieldError{"site.yaml", 1, "services.web.connectTimeout", ""}},
		{"floor out of range", testBase, "services:\n\n  web: {floorPercent: 101}", FieldError{"site.yaml", 3, "services.web.floorPercent", ""}},
		{"base line of a reference that the overlay breaks", testBase, "services: {web: null, api: {slots: 1, connections: 1, floorPercent: 50}}", FieldError{"base.yaml", 12, "routes.home.service", ""}},
		{"missing field at its parent", testBase, "services:\n  api: {slots: 1, connections: 1}\n", FieldError{"site.yaml", 2, "services.api.floorPercent", ""}},
		{"key that occurs twice", testBase, "teams: {red: {rate: 1}, red: {rate: 2}}", FieldError{"site.yaml", 1, "", ""}},
		{"anchor", testBase, "teams:\n  red: &x {rate: 1}\n", FieldError{"site.yaml", 2, "teams.red", ""}},
		{"second document", testBase, "teams: {}\n---\nteams: {}\n", FieldError{"site.yaml", 3, "", ""}},
		{"fraction for a whole number", testBase, "teams: {red: {burst: 1.5}}", FieldError{"site.yaml", 1, "teams.red.burst", ""}},
		{"unknown kind of limit", testBase, "services: {web: {concurrency: fixed}}", FieldError{"site.yaml", 1, "services.web.concurrency", ""}},
		{"same key in two teams", testBase, "teams:\n  red: {keyHashes: [" + HashKey("k") + "]}\n  blue: {keyHashes: [" + HashKey("k") + "]}\n", FieldError{"site.yaml", 2, "teams.red.keyHashes[0]", ""}},
		{"two routes with one path", testBase, "routes:\n  other: {path: /, service: web, access: open}\n", FieldError{"site.yaml", 2, "routes.other.path", ""}},
		{"path without leading slash", testBase, "routes: {home: {path: home}}", FieldError{"site.yaml", 1, "routes.home.path", ""}},
		{"unknown team of a route", testBase, "routes:\n  home:\n    teams:\n      - red\n      - pink\n", FieldError{"site.yaml", 5, "routes.home.teams[1]", ""}},
		{"no administrator", testBase, "operators: {ann: {role: viewer, credentialHash: " + HashKey("c") + "}}", FieldError{"site.yaml", 1, "operators", ""}},
		{"rate that is not finite", testBase, "teams: {red: {rate: .inf}}", FieldError{"site.yaml", 1, "teams.red.rate", ""}},
		{"unknown shares", testBase, "services: {web: {shares: some}}", FieldError{"site.yaml", 1, "services.web.shares", ""}},
		{"unknown placement", testBase, "services: {web: {placement: fastest}}", FieldError{"site.yaml", 1, "services.web.placement", ""}},
		{"list instead of mapping", "- a", "", FieldError{"base.yaml", 1, "", ""}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			_, err := Load([]byte(test.base), []byte(test.overlay), [2]string{"base.yaml", "site.yaml"})
			var got *FieldError
			assert.Assert(t, errors.As(err, &got), "%v", err)
			assert.Assert(t, got.Problem != "")
			t.Log(got)
			got.Problem = ""
			assert.Equal(t, *got, test.want)
		})
	}
}

// Guards against a default that is written out: processes of an older build would refuse the document.
func TestDefaultPlacementIsOmitted(t *testing.T) {
	for overlay, want := range map[string]Placement{
		"": "", "services: {web: {placement: two-choices, shares: none}}": "",
		"services: {web: {placement: least-completion}}": PlacementLeastCompletion,
	} {
		doc, err := Load([]byte(testBase), []byte(overlay), [2]string{"base.yaml", "site.yaml"})
		assert.NilError(t, err)
		assert.Equal(t, doc.Services["web"].Placement, want)
		assert.Equal(t, doc.Services["web"].Shares, "")
	}
}

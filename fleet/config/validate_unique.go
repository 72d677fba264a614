package config

// checkDuplicateRoutes reports routes that match the same requests: their Host, Path and Below are equal.
func (c *checker) checkDuplicateRoutes() {
	type match struct {
		host, path string
		below      bool
	}
	first := make(map[match]string, len(c.doc.Routes))
	eachSorted(c.doc.Routes, func(name string, r Route) {
		key := match{r.Host, r.Path, r.Below}
		if other, ok := first[key]; ok {
			c.fail(joinPath("routes", name)+".path", "route %q has the same host and path", other)
			return
		}
		first[key] = name
	})
}

// checkDuplicateKeys reports key hashes that are listed more than once, because the team of a caller would then be
// ambiguous.
func (c *checker) checkDuplicateKeys() {
	first := map[string]string{}
	eachSorted(c.doc.Teams, func(name string, t Team) { c.checkTeamKeys(name, t, first) })
}

func (c *checker) checkTeamKeys(name string, t Team, first map[string]string) {
	for i, hash := range t.KeyHashes {
		if other, ok := first[hash]; ok {
			c.failDuplicateKey(name, i, other)
			continue
		}
		first[hash] = name
	}
}

func (c *checker) failDuplicateKey(team string, i int, other string) {
	c.fail(indexPath(joinPath("teams", team)+".keyHashes", i), "team %q has the same key hash", other)
}

// checkChangedKeys reports key hashes of the teams that the change sets if they are listed more than once there, or if
// a team that the change leaves alone lists them.
func (c *checker) checkChangedKeys(teams Entries[Team], owner KeyOwner) {
	changed := map[string]bool{}
	for _, name := range teams.Remove {
		changed[name] = true
	}
	for name := range teams.Set {
		changed[name] = true
	}
	first := map[string]string{}
	eachSorted(teams.Set, func(name string, t Team) {
		c.checkTeamKeys(name, t, first)
		for i, hash := range t.KeyHashes {
			if other, ok := owner(hash); ok && !changed[other] {
				c.failDuplicateKey(name, i, other)
			}
		}
	})
}

// checkOperators reports operators with the same credential, and a document that has operators but none with the role
// admin. A document without operators is valid, because the first administrator uses the bootstrap credential.
func (c *checker) checkOperators() {
	first := map[string]string{}
	admins := 0
	eachSorted(c.doc.Operators, func(name string, o Operator) {
		if other, ok := first[o.CredentialHash]; ok {
			c.fail(joinPath("operators", name)+".credentialHash", "operator %q has the same credential", other)
		}
		first[o.CredentialHash] = name
		if o.Role == RoleAdmin {
			admins++
		}
	})
	if len(c.doc.Operators) > 0 && admins == 0 {
		c.fail("operators", "none has role %s", RoleAdmin)
	}
}

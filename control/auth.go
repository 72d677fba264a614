package control

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/pkg/errors"
	"github.com/uptrace/bunrouter"

	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
)

// bootstrapOperator is the name under which the audit trail lists changes made with the bootstrap credential.
const bootstrapOperator = "bootstrap"

var roleRank = map[config.Role]int{config.RoleViewer: 1, config.RoleOperator: 2, config.RoleAdmin: 3}

// guard calls next for requests that carry the credential of an operator with at least the given role. Unless the
// caller accepts stale state, it authorizes the operator again after the read barrier, so that a removed operator
// cannot get through on a process whose state is behind.
func (a *API) guard(role config.Role, next handler) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		c := &call{Request: r, stale: r.Method == http.MethodGet && r.URL.Query().Get("stale") == "true"}
		if err := a.authorize(c, role); err != nil {
			return err
		}
		if c.stale {
			return next(w, c)
		}
		if err := a.barrier(c.Context()); err != nil {
			return err
		}
		if err := a.authorize(c, role); err != nil {
			return err
		}
		return next(w, c)
	}
}

func (a *API) barrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	return errors.Wrap(a.Fleet.Barrier(ctx), "read barrier")
}

func (a *API) authorize(c *call, want config.Role) error {
	credential, ok := strings.CutPrefix(c.Header.Get("Authorization"), "Bearer ")
	if !ok || credential == "" {
		return newProblem(http.StatusUnauthorized, ProblemUnauthorized, "send the credential as Authorization: Bearer")
	}
	hash := config.HashKey(credential)
	a.Fleet.View(func(s *state.State) {
		c.operator, c.role, ok = s.OperatorByCredential(hash)
		if !ok && len(s.Config().Operators) == 0 && a.isBootstrap(hash) {
			c.operator, c.role, ok = bootstrapOperator, config.RoleAdmin, true
		}
	})
	if !ok {
		a.Logger.Warn().Str("remote", c.RemoteAddr).Str("path", c.URL.Path).Msg("control: denied a request with an unknown credential.")
		return newProblem(http.StatusUnauthorized, ProblemUnauthorized, "no operator has this credential")
	}
	return a.requireRole(c, want)
}

func (a *API) requireRole(c *call, want config.Role) error {
	if roleRank[c.role] >= roleRank[want] {
		return nil
	}
	a.Logger.Warn().Str("operator", c.operator).Str("path", c.URL.Path).Msgf("control: denied a request that role %s does not permit.", c.role)
	return newProblem(http.StatusForbidden, ProblemForbidden, "operator "+c.operator+" has role "+string(c.role)+"; this needs "+string(want))
}

func (a *API) isBootstrap(hash string) bool {
	return a.BootstrapHash != "" && subtle.ConstantTimeCompare([]byte(a.BootstrapHash), []byte(hash)) == 1
}

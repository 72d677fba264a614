package control

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/uptrace/bunrouter"

	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/fleet/state"
)

const (
	// maxBodyBytes limits the body of a request that changes state, because it becomes one entry of the replicated log.
	maxBodyBytes = 4 << 20
	// maxSnapshotUploadBytes limits the snapshot that initializes an empty fleet.
	maxSnapshotUploadBytes = 1 << 30
	// barrierTimeout limits the read barrier that precedes each request.
	barrierTimeout = 5 * time.Second
	// proposeTimeout limits the wait for the result of a proposed command.
	proposeTimeout = 10 * time.Second
)

// Options configures the operators' API. Fleet and Confirmations are required. Where Group or Restorer is nil, requests
// that need it fail with ProblemUnsupported. Where Capacity, Members or Explainer is nil, replies omit its data.
type Options struct {
	Fleet         Fleet
	Confirmations *Confirmations
	Capacity      CapacityReporter
	Members       MemberReporter
	Explainer     Explainer
	Group         GroupAdmin
	Restorer      Restorer
	// BootstrapHash is the lower-case hex SHA-256 sum of a credential that has the role admin while the configuration
	// document lists no operators. Empty disables it.
	BootstrapHash string
	// Logger receives a line for each change and for each request that is denied by authorization. Default:
	// log.DefaultLogger.
	Logger *log.Logger
}

// API is the operators' HTTP API under /v1.
type API struct {
	Options
	router *bunrouter.Router
}

// NewAPI returns an API that serves the given options.
func NewAPI(o Options) *API {
	if o.Logger == nil {
		o.Logger = &log.DefaultLogger
	}
	a := &API{Options: o}
	a.router = bunrouter.New(
		bunrouter.Use(problemMiddleware),
		bunrouter.WithNotFoundHandler(func(http.ResponseWriter, bunrouter.Request) error {
			return newProblem(http.StatusNotFound, ProblemNotFound, "no such resource")
		}),
		bunrouter.WithMethodNotAllowedHandler(func(http.ResponseWriter, bunrouter.Request) error {
			return newProblem(http.StatusMethodNotAllowed, ProblemBadRequest, "the resource does not take this method")
		}),
	)
	a.router.WithGroup("/v1", a.addRoutes)
	return a
}

// ServeHTTP handles one request of an operator.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.router.ServeHTTP(w, r) }

func (a *API) addRoutes(g *bunrouter.Group) {
	viewer, operator, admin := config.RoleViewer, config.RoleOperator, config.RoleAdmin
	g.GET("/version", a.guard(viewer, a.getVersion))
	g.GET("/status", a.guard(viewer, a.getStatus))
	g.GET("/inforce/:version", a.guard(viewer, a.getInForce))
	g.GET("/config", a.guard(viewer, a.getConfig))
	g.POST("/config", a.guard(operator, a.postConfig))
	g.GET("/teams/:team/keys", a.guard(viewer, a.getKeys))
	g.POST("/keys/issue", a.guard(operator, a.postIssueKey))
	g.POST("/keys/withdraw", a.guard(operator, a.postWithdrawKey))
	g.GET("/domains", a.guard(viewer, a.getDomains))
	g.POST("/domains/:domain/out", a.guard(operator, a.postDomainOut))
	g.POST("/domains/:domain/in", a.guard(operator, a.postDomainIn))
	g.GET("/rollouts", a.guard(viewer, a.getRollouts))
	g.GET("/rollouts/:service", a.guard(viewer, a.getRollout))
	g.POST("/rollouts/:service/begin", a.guard(operator, a.postRolloutBegin))
	g.POST("/rollouts/:service/abort", a.guard(operator, a.postRolloutAbort))
	g.GET("/history", a.guard(viewer, a.getHistory))
	g.GET("/members", a.guard(viewer, a.getMembers))
	g.GET("/explain", a.guard(viewer, a.getExplain))
	g.GET("/group", a.guard(viewer, a.getGroup))
	g.POST("/group", a.guard(admin, a.postGroup))
	g.GET("/snapshot", a.guard(admin, a.getSnapshot))
	g.POST("/snapshot", a.guard(admin, a.postSnapshot))
}

// call is one authenticated request.
type call struct {
	bunrouter.Request
	operator string
	role     config.Role
	// stale is true if the caller accepts this process's state without a check that a quorum confirms it.
	stale bool
}

type handler func(w http.ResponseWriter, c *call) error

// propose fills in the envelope, proposes the command and returns a refusal as a *Problem.
func (a *API) propose(c *call, e Envelope, cmd state.Command) (state.Result, error) {
	ctx, cancel := context.WithTimeout(c.Context(), proposeTimeout)
	defer cancel()
	cmd.ChangeID, cmd.BaseVersion = e.ChangeID, e.BaseVersion
	cmd.Operator, cmd.Time = c.operator, time.Now().UTC()
	result, err := a.Fleet.Propose(ctx, cmd)
	a.logChange(cmd, result, err)
	if err != nil {
		return result, errors.Wrapf(err, "propose %s", cmd.Kind())
	}
	if result.Err != nil {
		return result, refusalProblem(result)
	}
	return result, nil
}

func (a *API) logChange(cmd state.Command, result state.Result, err error) {
	entry := a.Logger.Info()
	outcome := "accepted"
	switch {
	case err != nil:
		entry, outcome = a.Logger.Warn().Err(err), "failed"
	case result.Err != nil:
		entry, outcome = a.Logger.Warn().Err(result.Err), "refused"
	}
	entry.Str("operator", cmd.Operator).Str("kind", string(cmd.Kind())).Str("change_id", cmd.ChangeID).
		Uint64("version", result.Version).Msgf("control: change %s.", outcome)
}

// proposeAndReply proposes a command and writes the resulting version to the response.
func (a *API) proposeAndReply(w http.ResponseWriter, c *call, e Envelope, cmd state.Command, warnings []string) error {
	result, err := a.propose(c, e, cmd)
	if err != nil {
		return err
	}
	return writeJSON(w, ChangeReply{Version: result.Version, Warnings: warnings})
}

// readBody decodes a JSON body of at most maxBodyBytes into v and rejects unknown fields.
func readBody(w http.ResponseWriter, c *call, v any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, c.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(v)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return newProblem(http.StatusRequestEntityTooLarge, ProblemTooLarge, "the request exceeds 4 MiB; apply the change in parts")
	}
	if err != nil {
		return newProblem(http.StatusBadRequest, ProblemBadRequest, "body: "+err.Error())
	}
	return nil
}

func problemMiddleware(next bunrouter.HandlerFunc) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		if err := next(w, r); err != nil {
			return writeProblem(w, asProblem(err))
		}
		return nil
	}
}

func unsupported(what string) error {
	return newProblem(http.StatusNotImplemented, ProblemUnsupported, "this process does not offer "+what)
}

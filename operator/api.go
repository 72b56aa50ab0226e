package operator

// This file defines API with its routes, the authentication of operators, and the handlers
// that read or clear crash records. Changes of the configuration are in change.go.

import (
	"crypto/subtle"
	_ "embed"
	"fmt"
	"strconv"
	"strings"

	"github.com/gofiber/fiber/v2"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"bulrushtally/config"
	"bulrushtally/ledger"
	"bulrushtally/schedule"
)

//go:embed openapi.yaml
var openAPI string

// BasePath is the path prefix of the API's routes.
const BasePath = "/admin/v1"

// HeaderRequestNumber is the header with the request number of a change. It is chosen by the
// operator's client; a change that is sent again with the same number takes effect once.
const HeaderRequestNumber = "Bulrushtally-Change"

// Fleet provides the API with the state of the routers.
type Fleet interface {
	// Status returns this router's view of all routers.
	Status() Status
	// Suspects returns the crash records of requests that were running when backend
	// servers crashed.
	Suspects() []schedule.CrashRecord
	// ClearSuspect deletes the crash record of a request digest on every router that can
	// be reached. It returns false if there is no such record.
	ClearSuspect(digest uint64) bool
}

// Status is the state of the fleet as known to one router.
type Status struct {
	VM       string          `json:"vm"`       // of this router, as are Revision and Ready
	Revision uint64          `json:"revision"` // of the configuration
	Ready    bool            `json:"ready"`    // can serve requests
	Routers  []RouterStatus  `json:"routers"`
	Shards   []ShardStatus   `json:"shards"`   // shards that this router leads
	Backends []BackendStatus `json:"backends"` // backend servers of these shards
}

// ShardStatus is a shard's load as counted by its leader. Window is the sum of the backend
// servers' windows, Free the free slots and Waiting the queue length, all in requests.
type ShardStatus struct {
	Shard   string `json:"shard"`
	Window  int    `json:"window"`
	Free    int    `json:"free"`
	Waiting int    `json:"waiting"`
}

// RouterStatus is the state that another router, or this one, last reported about itself.
type RouterStatus struct {
	VM       string `json:"vm"`
	Zone     string `json:"zone"`
	Revision uint64 `json:"revision"`
	Ready    bool   `json:"ready"`
	Leaving  bool   `json:"leaving"`
}

// BackendStatus is the state of a backend server at its shard's leader. Window is the
// maximum number of concurrent requests, InFlight the current number.
type BackendStatus struct {
	Name     string `json:"name"`
	Window   int    `json:"window"`
	InFlight int    `json:"inFlight"`
}

// Options are the parameters of an API.
type Options struct {
	FirstOperatorKeySHA256 string // hexadecimal SHA-256 of the first operator's key; empty if there is no first operator
	FirstOperatorOffice    string // office of the first operator
	Store                  *config.Store
	Log                    *ledger.Log
	Fleet                  Fleet
	OnAccepted             func(*config.Change) // called with each change that is accepted by this API
	Logger                 zerolog.Logger
	Metrics                tally.Scope
}

// API handles operators' requests.
type API struct{ options Options }

// New returns an API.
func New(o Options) *API { return &API{options: o} }

// Routes adds the API's routes to an application.
func (a *API) Routes(app *fiber.App) {
	app.Get(BasePath+"/openapi.yaml", func(c *fiber.Ctx) error {
		c.Set(fiber.HeaderContentType, "application/yaml")
		return c.SendString(openAPI)
	})
	g := app.Group(BasePath, a.authenticate)
	g.Get("/status", func(c *fiber.Ctx) error { return c.JSON(a.options.Fleet.Status()) })
	g.Get("/audit", a.listChanges)
	g.Get("/suspects", func(c *fiber.Ctx) error { return c.JSON(a.options.Fleet.Suspects()) })
	g.Delete("/suspects/:digest", a.clearSuspect)
	g.Get("/:kind", a.listObjects)
	g.Get("/:kind/:name", a.getObject)
	g.Get("/:kind/:name/history", a.listObjectChanges)
	g.Put("/:kind/:name", a.putObject)
	g.Patch("/:kind/:name/labels", a.patchLabels)
	g.Delete("/:kind/:name", a.deleteObject)
}

// operatorLocal is the key under which fiber.Ctx.Locals holds the operator of a request.
const operatorLocal = "operator"

// FirstOperator is the name of the operator whose key hash is in the router's settings. It
// can make changes before the configuration has any operator.
const FirstOperator = "first"

// authenticate rejects requests without a valid operator key, and requests other than GET of
// operators that may not make changes.
func (a *API) authenticate(c *fiber.Ctx) error {
	key := strings.TrimPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	o := a.findOperator(key)
	if o == nil {
		a.options.Metrics.Counter("operator_keys_refused").Inc(1)
		return writeFailure(c, fiber.StatusUnauthorized, "no-key", "no operator has this key", "send Authorization: Bearer with an operator's key")
	}
	if c.Method() != fiber.MethodGet && !o.MayChange() {
		return writeFailure(c, fiber.StatusForbidden, "read-only", fmt.Sprintf("operator %q may only read", o.Name), "ask for the label rights=change")
	}
	c.Locals(operatorLocal, o)
	return c.Next()
}

// findOperator returns the operator with the given key, or nil. Keys are compared by their
// hashes, so that the duration of a comparison reveals nothing about a key.
func (a *API) findOperator(key string) *config.Object {
	hash := config.HashKey(key)
	firstHash := a.options.FirstOperatorKeySHA256
	if firstHash != "" && subtle.ConstantTimeCompare([]byte(hash), []byte(firstHash)) == 1 {
		return &config.Object{
			Kind: config.KindOperator, Name: FirstOperator, Office: a.options.FirstOperatorOffice,
			Labels: map[string]string{config.LabelRights: "change"},
		}
	}
	return a.options.Store.View().ByKey(config.KindOperator, key)
}

// Failure is the JSON body of an error response. Client methods return it as an error.
type Failure struct {
	Code          string          `json:"code"`
	Message       string          `json:"message"`
	Remedy        string          `json:"remedy"`
	RequestNumber string          `json:"request,omitempty"`  // with code platform or in-doubt: number under which the change can be sent again
	Current       *config.Object  `json:"standing,omitempty"` // with code conflict: the current object
	Requested     *config.Object  `json:"wished,omitempty"`   // with code conflict: the object of the rejected change
	LastChange    *config.Change  `json:"last,omitempty"`     // with code conflict: the last change of the object, with its operator, office and time
	Effects       *config.Effects `json:"effects,omitempty"`  // with code stranded: the effects that the change would have
}

// Error returns the code, the message and the remedy.
func (f *Failure) Error() string { return f.Code + ": " + f.Message + "; " + f.Remedy }

// writeFailure writes an error response. It returns an error only if that fails.
func writeFailure(c *fiber.Ctx, status int, code, message, remedy string) error {
	return c.Status(status).JSON(&Failure{Code: code, Message: message, Remedy: remedy})
}

// Page is one page of a list of objects, sorted by name.
type Page struct {
	Objects []*config.Object `json:"objects"`
	Next    string           `json:"next,omitempty"` // value of the query parameter after for the next page; empty on the last page
}

// Number of objects per page.
const (
	defaultPageSize = 100
	maxPageSize     = 1000
)

// listObjects returns a page of the objects of a kind that match a selector.
func (a *API) listObjects(c *fiber.Ctx) error {
	selector, err := config.ParseSelector(c.Query("selector"))
	if err != nil {
		return writeFailure(c, fiber.StatusBadRequest, "bad-selector", err.Error(), "correct the selector")
	}
	limit := c.QueryInt("limit", defaultPageSize)
	if limit < 1 || limit > maxPageSize {
		return writeFailure(c, fiber.StatusBadRequest, "bad-limit", fmt.Sprintf("limit %q", c.Query("limit")), "give a number from 1 to 1000")
	}
	k := config.Kind(c.Params("kind"))
	if !isKnownKind(k) {
		return writeFailure(c, fiber.StatusNotFound, "unknown-kind", fmt.Sprintf("no kind %q", k), "use one of "+kindNames())
	}
	p := Page{Objects: []*config.Object{}}
	for _, o := range a.options.Store.View().List(k, selector) {
		if o.Name <= c.Query("after") {
			continue
		}
		if len(p.Objects) == limit {
			p.Next = p.Objects[limit-1].Name
			break
		}
		p.Objects = append(p.Objects, o)
	}
	return c.JSON(p)
}

// isKnownKind reports whether k is one of config.Kinds.
func isKnownKind(k config.Kind) bool { return strings.Contains(" "+kindNames()+" ", " "+string(k)+" ") }

// kindNames returns the names of config.Kinds, separated by spaces.
func kindNames() string {
	names := make([]string, len(config.Kinds))
	for i, k := range config.Kinds {
		names[i] = string(k)
	}
	return strings.Join(names, " ")
}

// getObject returns an object, with its version as the ETag.
func (a *API) getObject(c *fiber.Ctx) error {
	o := a.options.Store.View().Get(config.Kind(c.Params("kind")), c.Params("name"))
	if o == nil {
		return writeFailure(c, fiber.StatusNotFound, "not-found", fmt.Sprintf("no %s %q", c.Params("kind"), c.Params("name")), "list the names there are")
	}
	c.Set(fiber.HeaderETag, strconv.Quote(strconv.FormatUint(o.Version, 10)))
	return c.JSON(o)
}

// maxAuditChanges is the maximum number of changes in one response of listChanges.
const maxAuditChanges = 500

// listChanges returns the changes after a revision, oldest first. It reads the log in the
// platform's table, which has all changes.
func (a *API) listChanges(c *fiber.Ctx) error {
	after, err := strconv.ParseUint(c.Query("after", "0"), 10, 64)
	if err != nil {
		return writeFailure(c, fiber.StatusBadRequest, "bad-revision", err.Error(), "give the revision to start after")
	}
	list, err := a.options.Log.Since(after)
	if err != nil {
		return a.writePlatformFailure(c, err, "")
	}
	return c.JSON(list[:min(len(list), maxAuditChanges)])
}

// listObjectChanges returns all changes of one object, oldest first. It reads the whole log.
func (a *API) listObjectChanges(c *fiber.Ctx) error {
	id := config.ID{Kind: config.Kind(c.Params("kind")), Name: c.Params("name")}
	changes := []*config.Change{}
	for after := uint64(0); ; {
		list, err := a.options.Log.Since(after)
		if err != nil {
			return a.writePlatformFailure(c, err, "")
		}
		if len(list) == 0 {
			return c.JSON(changes)
		}
		for _, ch := range list {
			after = ch.Revision
			if ch.Object() == id {
				changes = append(changes, ch)
			}
		}
	}
}

// clearSuspect deletes the crash record of a request digest.
func (a *API) clearSuspect(c *fiber.Ctx) error {
	digest, err := strconv.ParseUint(c.Params("digest"), 10, 64)
	if err != nil || !a.options.Fleet.ClearSuspect(digest) {
		return writeFailure(c, fiber.StatusNotFound, "not-found", "no such digest", "list the suspects")
	}
	o := c.Locals(operatorLocal).(*config.Object)
	a.options.Logger.Warn().Str("operator", o.Name).Str("office", o.Office).Uint64("digest", digest).Msg("suspect-cleared")
	return c.SendStatus(fiber.StatusNoContent)
}

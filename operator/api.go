package operator

// This file defines API: its routes, who may use them, and reading.

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

// Base is the path under which the API is served.
const Base = "/admin/v1"

// HeaderRequest carries an operator's request number, which makes a repeated change idempotent.
const HeaderRequest = "Bulrushtally-Change"

// Fleet is what the API shows of the routers.
type Fleet interface {
	// Status returns this router's view of all routers.
	Status() Status
	// Suspects returns the requests that were running when backend servers died.
	Suspects() []schedule.CrashRecord
	// ClearSuspect forgets one of them on every router that can be reached.
	ClearSuspect(digest uint64) bool
}

// Status is one router's view of the fleet.
type Status struct {
	VM       string          `json:"vm"`
	Revision uint64          `json:"revision"`
	Ready    bool            `json:"ready"`
	Routers  []RouterStatus  `json:"routers"`
	Shards   []ShardStatus   `json:"shards"`   // that this router leads
	Backends []BackendStatus `json:"backends"` // of these shards
}

// ShardStatus is a shard's load at its leader, in requests.
type ShardStatus struct {
	Shard   string `json:"shard"`
	Window  int    `json:"window"`
	Free    int    `json:"free"`
	Waiting int    `json:"waiting"`
}

// RouterStatus is what is known of one router.
type RouterStatus struct {
	VM       string `json:"vm"`
	Zone     string `json:"zone"`
	Revision uint64 `json:"revision"`
	Ready    bool   `json:"ready"`
	Leaving  bool   `json:"leaving"`
}

// BackendStatus is a backend server's window at its leader.
type BackendStatus struct {
	Name     string `json:"name"`
	Window   int    `json:"window"`
	InFlight int    `json:"inFlight"`
}

// Options are what an API needs.
type Options struct {
	FirstKeyHash string // SHA-256 of the first operator's key, may be empty
	FirstOffice  string
	Store        *config.Store
	Log          *ledger.Log
	Fleet        Fleet
	Accepted     func(*config.Change) // is told of each change accepted here
	Logger       zerolog.Logger
	Metrics      tally.Scope
}

// API serves operators.
type API struct{ options Options }

// New returns an API.
func New(o Options) *API { return &API{options: o} }

// Routes adds the API's routes to an application.
func (a *API) Routes(app *fiber.App) {
	app.Get(Base+"/openapi.yaml", func(c *fiber.Ctx) error {
		c.Set(fiber.HeaderContentType, "application/yaml")
		return c.SendString(openAPI)
	})
	g := app.Group(Base, a.authenticate)
	g.Get("/status", func(c *fiber.Ctx) error { return c.JSON(a.options.Fleet.Status()) })
	g.Get("/audit", a.audit)
	g.Get("/suspects", func(c *fiber.Ctx) error { return c.JSON(a.options.Fleet.Suspects()) })
	g.Delete("/suspects/:digest", a.clearSuspect)
	g.Get("/:kind", a.list)
	g.Get("/:kind/:name", a.get)
	g.Get("/:kind/:name/history", a.history)
	g.Put("/:kind/:name", a.put)
	g.Patch("/:kind/:name/labels", a.label)
	g.Delete("/:kind/:name", a.remove)
}

// operatorKey is where a request's operator is kept while it is handled.
const operatorKey = "operator"

// FirstOperator is the name of the operator whose key comes from the settings.
const FirstOperator = "first"

func (a *API) authenticate(c *fiber.Ctx) error {
	key := strings.TrimPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	o := a.find(key)
	if o == nil {
		a.options.Metrics.Counter("operator_keys_refused").Inc(1)
		return fail(c, fiber.StatusUnauthorized, "no-key", "no operator has this key", "send Authorization: Bearer with an operator's key")
	}
	if c.Method() != fiber.MethodGet && !o.MayChange() {
		return fail(c, fiber.StatusForbidden, "read-only", fmt.Sprintf("operator %q may only read", o.Name), "ask for the label rights=change")
	}
	c.Locals(operatorKey, o)
	return c.Next()
}

// find returns the operator with a key. Keys are compared as hashes, so the time
// taken tells nothing about a key.
func (a *API) find(key string) *config.Object {
	hash := config.HashKey(key)
	first := a.options.FirstKeyHash
	if first != "" && subtle.ConstantTimeCompare([]byte(hash), []byte(first)) == 1 {
		return &config.Object{
			Kind: config.KindOperator, Name: FirstOperator, Office: a.options.FirstOffice,
			Labels: map[string]string{config.LabelRights: "change"},
		}
	}
	return a.options.Store.View().ByKey(config.KindOperator, key)
}

// Failure is the JSON form of an error.
type Failure struct {
	Code     string          `json:"code"`
	Message  string          `json:"message"`
	Remedy   string          `json:"remedy"`
	Request  string          `json:"request,omitempty"`  // the request number to ask again with
	Standing *config.Object  `json:"standing,omitempty"` // with a conflict: the object as it stands
	Wished   *config.Object  `json:"wished,omitempty"`   // with a conflict: the object as it was asked for
	Last     *config.Change  `json:"last,omitempty"`     // with a conflict: who changed it, when, from which office
	Effects  *config.Effects `json:"effects,omitempty"`
}

// Error describes the failure and its remedy.
func (f *Failure) Error() string { return f.Code + ": " + f.Message + "; " + f.Remedy }

func fail(c *fiber.Ctx, status int, code, message, remedy string) error {
	return c.Status(status).JSON(&Failure{Code: code, Message: message, Remedy: remedy})
}

// Page is one page of a list.
type Page struct {
	Objects []*config.Object `json:"objects"`
	Next    string           `json:"next,omitempty"` // value of after for the next page
}

// Page sizes.
const (
	defaultPage = 100
	maxPage     = 1000
)

func (a *API) list(c *fiber.Ctx) error {
	sel, err := config.ParseSelector(c.Query("selector"))
	if err != nil {
		return fail(c, fiber.StatusBadRequest, "bad-selector", err.Error(), "correct the selector")
	}
	limit := c.QueryInt("limit", defaultPage)
	if limit < 1 || limit > maxPage {
		return fail(c, fiber.StatusBadRequest, "bad-limit", fmt.Sprintf("limit %q", c.Query("limit")), "give a number from 1 to 1000")
	}
	k := config.Kind(c.Params("kind"))
	if !known(k) {
		return fail(c, fiber.StatusNotFound, "unknown-kind", fmt.Sprintf("no kind %q", k), "use one of "+kindList())
	}
	p := Page{Objects: []*config.Object{}}
	for _, o := range a.options.Store.View().List(k, sel) {
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

func known(k config.Kind) bool { return strings.Contains(" "+kindList()+" ", " "+string(k)+" ") }

func kindList() string {
	names := make([]string, len(config.Kinds))
	for i, k := range config.Kinds {
		names[i] = string(k)
	}
	return strings.Join(names, " ")
}

func (a *API) get(c *fiber.Ctx) error {
	o := a.options.Store.View().Get(config.Kind(c.Params("kind")), c.Params("name"))
	if o == nil {
		return fail(c, fiber.StatusNotFound, "not-found", fmt.Sprintf("no %s %q", c.Params("kind"), c.Params("name")), "list the names there are")
	}
	c.Set(fiber.HeaderETag, strconv.Quote(strconv.FormatUint(o.Version, 10)))
	return c.JSON(o)
}

// auditPage is the most changes that one answer lists.
const auditPage = 500

// audit lists changes after a revision, from the platform's log, which has all of them.
func (a *API) audit(c *fiber.Ctx) error {
	after, err := strconv.ParseUint(c.Query("after", "0"), 10, 64)
	if err != nil {
		return fail(c, fiber.StatusBadRequest, "bad-revision", err.Error(), "give the revision to start after")
	}
	list, err := a.options.Log.Since(after)
	if err != nil {
		return a.platformFailed(c, err, "")
	}
	return c.JSON(list[:min(len(list), auditPage)])
}

// history lists the changes of one object.
func (a *API) history(c *fiber.Ctx) error {
	id := config.ID{Kind: config.Kind(c.Params("kind")), Name: c.Params("name")}
	out := []*config.Change{}
	for after := uint64(0); ; {
		list, err := a.options.Log.Since(after)
		if err != nil {
			return a.platformFailed(c, err, "")
		}
		if len(list) == 0 {
			return c.JSON(out)
		}
		for _, ch := range list {
			after = ch.Revision
			if ch.Object() == id {
				out = append(out, ch)
			}
		}
	}
}

func (a *API) clearSuspect(c *fiber.Ctx) error {
	d, err := strconv.ParseUint(c.Params("digest"), 10, 64)
	if err != nil || !a.options.Fleet.ClearSuspect(d) {
		return fail(c, fiber.StatusNotFound, "not-found", "no such digest", "list the suspects")
	}
	o := c.Locals(operatorKey).(*config.Object)
	a.options.Logger.Warn().Str("operator", o.Name).Str("office", o.Office).Uint64("digest", d).Msg("suspect-cleared")
	return c.SendStatus(fiber.StatusNoContent)
}

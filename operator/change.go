package operator

// This file defines the API's changes: from an operator's wish to the answer
// accepted, refused or in doubt.

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/google/uuid"

	"bulrushtally/config"
	"bulrushtally/ledger"
)

// Accepted is the answer to a change.
type Accepted struct {
	Change  *config.Change `json:"change"`
	Effects config.Effects `json:"effects"`
	DryRun  bool           `json:"dryRun,omitempty"`
}

// LabelChange sets and removes labels of an object.
type LabelChange struct {
	Set    map[string]string `json:"set,omitempty"`
	Remove []string          `json:"remove,omitempty"`
}

// planner makes the change that an operator asks for on a state.
type planner func(s *config.State) (*config.Change, config.Effects, error)

func (a *API) put(c *fiber.Ctx) error {
	o := &config.Object{}
	d := json.NewDecoder(strings.NewReader(string(c.Body())))
	d.DisallowUnknownFields()
	if err := d.Decode(o); err != nil {
		return fail(c, fiber.StatusBadRequest, "bad-json", err.Error(), "send an object as the API's description has it")
	}
	o.Kind, o.Name, o.Shard = config.Kind(c.Params("kind")), c.Params("name"), 0
	w, err := a.wish(c, o)
	if err != nil {
		return err
	}
	return a.change(c, o, func(s *config.State) (*config.Change, config.Effects, error) { return config.Plan(s, w) })
}

func (a *API) remove(c *fiber.Ctx) error {
	o := &config.Object{Kind: config.Kind(c.Params("kind")), Name: c.Params("name")}
	w, err := a.wish(c, o)
	if err != nil {
		return err
	}
	w.Delete = true
	return a.change(c, o, func(s *config.State) (*config.Change, config.Effects, error) { return config.Plan(s, w) })
}

// label changes some labels on whatever else stands, so that two offices that
// set different labels do not undo each other's.
func (a *API) label(c *fiber.Ctx) error {
	var l LabelChange
	if err := json.Unmarshal(c.Body(), &l); err != nil {
		return fail(c, fiber.StatusBadRequest, "bad-json", err.Error(), `send {"set":{"k":"v"},"remove":["k"]}`)
	}
	id := config.ID{Kind: config.Kind(c.Params("kind")), Name: c.Params("name")}
	w, err := a.wish(c, nil)
	if err != nil {
		return err
	}
	wished := &config.Object{Kind: id.Kind, Name: id.Name, Labels: l.Set}
	return a.change(c, wished, func(s *config.State) (*config.Change, config.Effects, error) {
		have := s.Get(id.Kind, id.Name)
		if have == nil {
			return nil, config.Effects{}, &config.ConflictError{Object: id, Want: w.Version}
		}
		v := w
		v.Object = have.Clone()
		if v.Object.Labels == nil {
			v.Object.Labels = map[string]string{}
		}
		maps.Copy(v.Object.Labels, l.Set)
		for _, k := range l.Remove {
			delete(v.Object.Labels, k)
		}
		return config.Plan(s, v)
	})
}

// wish reads what a request says besides its body: If-Match with a version or
// "*", or If-None-Match: * for a creation; force in the query.
func (a *API) wish(c *fiber.Ctx, o *config.Object) (config.Wish, error) {
	w := config.Wish{Object: o, Force: c.QueryBool("force")}
	match := strings.Trim(c.Get(fiber.HeaderIfMatch), `"`)
	switch {
	case match == "*" || match == "" && o == nil:
		w.Any = true
	case match != "":
		n, err := strconv.ParseUint(match, 10, 64)
		if err != nil {
			return w, fail(c, fiber.StatusBadRequest, "bad-version", fmt.Sprintf("If-Match %q", match), "send the version that you read, or *")
		}
		w.Version = n
	case c.Get(fiber.HeaderIfNoneMatch) != "*":
		return w, fail(c, fiber.StatusPreconditionRequired, "no-version", "neither If-Match nor If-None-Match: *", "send If-Match with the version that you read, or If-None-Match: * to create")
	}
	return w, nil
}

// maxRequestNumber bounds an operator's request number, in bytes.
const maxRequestNumber = 64

// change has a planned change accepted and answers.
func (a *API) change(c *fiber.Ctx, wished *config.Object, plan planner) error {
	o := c.Locals(operatorKey).(*config.Object)
	var effects config.Effects
	if c.QueryBool("dryRun") {
		ch, effects, err := plan(a.options.Store.View().State)
		if err != nil {
			return a.refused(c, o, wished, err, "")
		}
		return c.JSON(Accepted{Change: ch, Effects: effects, DryRun: true})
	}
	number := c.Get(HeaderRequest)
	if number == "" {
		number = uuid.NewString()
	}
	if len(number) > maxRequestNumber || strings.ContainsAny(number, "/ ") {
		return fail(c, fiber.StatusBadRequest, "bad-request-number", fmt.Sprintf("%q", number), "use at most 64 characters without '/' and spaces")
	}
	ch, err := a.options.Log.Commit(a.options.Store, ledger.Draft{
		Request: number, Operator: o.Name, Office: o.Office, When: time.Now().UnixMilli(),
		Plan: func(s *config.State) (*config.Change, error) {
			ch, e, err := plan(s)
			effects = e
			return ch, err
		},
	})
	if err != nil {
		return a.refused(c, o, wished, err, number)
	}
	a.options.Accepted(ch)
	a.options.Metrics.Counter("changes_accepted").Inc(1)
	a.options.Logger.Info().Uint64("revision", ch.Revision).Str("operator", o.Name).Str("office", o.Office).
		Str("change", number).Str("kind", string(ch.Object().Kind)).Str("object", ch.Object().Name).Msg("change-accepted")
	return c.JSON(Accepted{Change: ch, Effects: effects})
}

// refused answers and logs a change that was not accepted.
func (a *API) refused(c *fiber.Ctx, o, wished *config.Object, err error, number string) error {
	a.options.Metrics.Counter("changes_refused").Inc(1)
	a.options.Logger.Warn().Str("operator", o.Name).Str("office", o.Office).Str("change", number).
		Str("kind", string(wished.Kind)).Str("object", wished.Name).Err(err).Msg("change-refused")
	var invalid *config.InvalidError
	var conflict *config.ConflictError
	var stranded *config.StrandedError
	switch {
	case errors.As(err, &invalid):
		return fail(c, fiber.StatusUnprocessableEntity, "invalid", err.Error(), invalid.Remedy)
	case errors.As(err, &conflict):
		return c.Status(fiber.StatusConflict).JSON(&Failure{
			Code: "conflict", Message: err.Error(), Remedy: "read the object again and repeat the change on it",
			Standing: conflict.Have, Wished: wished, Last: a.options.Store.Last(conflict.Object),
		})
	case errors.As(err, &stranded):
		return c.Status(fiber.StatusConflict).JSON(&Failure{
			Code: "stranded", Message: err.Error(), Remedy: "send force=true if that is meant", Effects: &stranded.Effects,
		})
	}
	return a.platformFailed(c, err, number)
}

func (a *API) platformFailed(c *fiber.Ctx, err error, number string) error {
	f := &Failure{Code: "platform", Message: err.Error(), Remedy: "nothing was changed; try again later", Request: number}
	var doubt *ledger.InDoubtError
	if errors.As(err, &doubt) {
		f.Code, f.Remedy = "in-doubt", "ask again with the same request number to learn whether it was accepted"
	}
	c.Set(fiber.HeaderRetryAfter, "1")
	return c.Status(fiber.StatusServiceUnavailable).JSON(f)
}

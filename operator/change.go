package operator

// This file defines the handlers that change the configuration. The response to a change is
// that it was accepted, that it was refused, or that it is in doubt, which means that it is
// not yet known whether it was accepted.

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

// ChangeResult is the response to a change that was accepted, or to a dry run of a change that
// would be.
type ChangeResult struct {
	Change  *config.Change `json:"change"`
	Effects config.Effects `json:"effects"`
	DryRun  bool           `json:"dryRun,omitempty"`
}

// LabelChange lists the labels of an object to set and the keys of the labels to remove. A
// label that is in both is removed.
type LabelChange struct {
	Set    map[string]string `json:"set,omitempty"`
	Remove []string          `json:"remove,omitempty"`
}

// planFunc plans the requested change of the configuration s and returns it with its effects.
// It fails if s does not allow the change.
type planFunc func(s *config.State) (*config.Change, config.Effects, error)

// putObject creates or replaces an object.
func (a *API) putObject(c *fiber.Ctx) error {
	o := &config.Object{}
	decoder := json.NewDecoder(strings.NewReader(string(c.Body())))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(o); err != nil {
		return writeFailure(c, fiber.StatusBadRequest, "bad-json", err.Error(), "send an object as the API's description has it")
	}
	o.Kind, o.Name, o.Shard = config.Kind(c.Params("kind")), c.Params("name"), 0
	w, refusal := parsePrecondition(c, o)
	if refusal != nil {
		return c.Status(refusal.status).JSON(&refusal.Failure)
	}
	return a.commitChange(c, o, func(s *config.State) (*config.Change, config.Effects, error) { return config.Plan(s, w) })
}

// deleteObject deletes an object.
func (a *API) deleteObject(c *fiber.Ctx) error {
	o := &config.Object{Kind: config.Kind(c.Params("kind")), Name: c.Params("name")}
	w, refusal := parsePrecondition(c, o)
	if refusal != nil {
		return c.Status(refusal.status).JSON(&refusal.Failure)
	}
	w.Delete = true
	return a.commitChange(c, o, func(s *config.State) (*config.Change, config.Effects, error) { return config.Plan(s, w) })
}

// patchLabels sets and removes labels of an object and leaves the rest of the current object
// as it is, so that offices that change different labels do not overwrite each other's
// changes.
func (a *API) patchLabels(c *fiber.Ctx) error {
	var l LabelChange
	if err := json.Unmarshal(c.Body(), &l); err != nil {
		return writeFailure(c, fiber.StatusBadRequest, "bad-json", err.Error(), `send {"set":{"k":"v"},"remove":["k"]}`)
	}
	id := config.ID{Kind: config.Kind(c.Params("kind")), Name: c.Params("name")}
	w, refusal := parsePrecondition(c, nil)
	if refusal != nil {
		return c.Status(refusal.status).JSON(&refusal.Failure)
	}
	requested := &config.Object{Kind: id.Kind, Name: id.Name, Labels: l.Set}
	return a.commitChange(c, requested, func(s *config.State) (*config.Change, config.Effects, error) {
		current := s.Get(id.Kind, id.Name)
		if current == nil {
			return nil, config.Effects{}, &config.ConflictError{Object: id, ExpectedVersion: w.BaseVersion}
		}
		patched := w
		patched.Object = current.Clone()
		if patched.Object.Labels == nil {
			patched.Object.Labels = map[string]string{}
		}
		maps.Copy(patched.Object.Labels, l.Set)
		for _, k := range l.Remove {
			delete(patched.Object.Labels, k)
		}
		return config.Plan(s, patched)
	})
}

// preconditionRefusal is why a request is refused whose precondition is missing or invalid.
type preconditionRefusal struct {
	Failure
	status int
}

// parsePrecondition returns the requested change of o from a request's headers and query:
// If-Match with a version or "*", or If-None-Match: * to create; and force. Without If-Match,
// any version matches if o is nil. If the headers are missing or invalid, it returns a refusal.
func parsePrecondition(c *fiber.Ctx, o *config.Object) (config.ChangeRequest, *preconditionRefusal) {
	w := config.ChangeRequest{Object: o, Force: c.QueryBool("force")}
	match := strings.Trim(c.Get(fiber.HeaderIfMatch), `"`)
	switch {
	case match == "*" || match == "" && o == nil:
		w.AnyVersion = true
	case match != "":
		n, err := strconv.ParseUint(match, 10, 64)
		if err != nil {
			return w, &preconditionRefusal{Failure{Code: "bad-version", Message: fmt.Sprintf("If-Match %q", match), Remedy: "send the version that you read, or *"}, fiber.StatusBadRequest}
		}
		w.BaseVersion = n
	case c.Get(fiber.HeaderIfNoneMatch) != "*":
		return w, &preconditionRefusal{Failure{
			Code: "no-version", Message: "neither If-Match nor If-None-Match: *", Remedy: "send If-Match with the version that you read, or If-None-Match: * to create",
		}, fiber.StatusPreconditionRequired}
	}
	return w, nil
}

// maxRequestNumberBytes is the maximum length of a request number.
const maxRequestNumberBytes = 64

// commitChange commits the change that plan returns, or only plans it for a dry run, and writes
// the response. The object requested is used in logs and in the response to a conflict.
func (a *API) commitChange(c *fiber.Ctx, requested *config.Object, plan planFunc) error {
	o := c.Locals(operatorLocal).(*config.Object)
	var effects config.Effects
	if c.QueryBool("dryRun") {
		ch, effects, err := plan(a.options.Store.View().State)
		if err != nil {
			return a.writeRefusal(c, o, requested, err, "")
		}
		return c.JSON(ChangeResult{Change: ch, Effects: effects, DryRun: true})
	}
	number := c.Get(HeaderRequestNumber)
	if number == "" {
		number = uuid.NewString()
	}
	if len(number) > maxRequestNumberBytes || strings.ContainsAny(number, "/ ") {
		return writeFailure(c, fiber.StatusBadRequest, "bad-request-number", fmt.Sprintf("%q", number), "use at most 64 characters without '/' and spaces")
	}
	ch, err := a.options.Log.Commit(a.options.Store, ledger.Proposal{
		Request: number, Operator: o.Name, Office: o.Office, UnixMs: time.Now().UnixMilli(),
		Plan: func(s *config.State) (*config.Change, error) {
			ch, e, err := plan(s)
			effects = e
			return ch, err
		},
	})
	if err != nil {
		return a.writeRefusal(c, o, requested, err, number)
	}
	a.options.OnAccepted(ch)
	a.options.Metrics.Counter("changes_accepted").Inc(1)
	a.options.Logger.Info().Uint64("revision", ch.Revision).Str("operator", o.Name).Str("office", o.Office).
		Str("change", number).Str("kind", string(ch.Object().Kind)).Str("object", ch.Object().Name).Msg("change-accepted")
	return c.JSON(ChangeResult{Change: ch, Effects: effects})
}

// writeRefusal logs a change by operator o that was not accepted, and writes the response for
// err.
func (a *API) writeRefusal(c *fiber.Ctx, o, requested *config.Object, err error, number string) error {
	a.options.Metrics.Counter("changes_refused").Inc(1)
	a.options.Logger.Warn().Str("operator", o.Name).Str("office", o.Office).Str("change", number).
		Str("kind", string(requested.Kind)).Str("object", requested.Name).Err(err).Msg("change-refused")
	var invalid *config.InvalidError
	var conflict *config.ConflictError
	var stranded *config.StrandedError
	switch {
	case errors.As(err, &invalid):
		return writeFailure(c, fiber.StatusUnprocessableEntity, "invalid", err.Error(), invalid.Remedy)
	case errors.As(err, &conflict):
		return c.Status(fiber.StatusConflict).JSON(&Failure{
			Code: "conflict", Message: err.Error(), Remedy: "read the object again and repeat the change on it",
			Current: conflict.Current, Requested: requested, LastChange: a.options.Store.LastChange(conflict.Object),
		})
	case errors.As(err, &stranded):
		return c.Status(fiber.StatusConflict).JSON(&Failure{
			Code: "stranded", Message: err.Error(), Remedy: "send force=true if that is meant", Effects: &stranded.Effects,
		})
	}
	return a.writePlatformFailure(c, err, number)
}

// writePlatformFailure writes the response for an error of a platform service. The request
// number is empty if the request is not a change or has none.
func (a *API) writePlatformFailure(c *fiber.Ctx, err error, number string) error {
	f := &Failure{Code: "platform", Message: err.Error(), Remedy: "nothing was changed; try again later", RequestNumber: number}
	var inDoubt *ledger.InDoubtError
	if errors.As(err, &inDoubt) {
		f.Code, f.Remedy = "in-doubt", "ask again with the same request number to learn whether it was accepted"
	}
	c.Set(fiber.HeaderRetryAfter, "1")
	return c.Status(fiber.StatusServiceUnavailable).JSON(f)
}

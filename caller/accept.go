package caller

// This file defines how HTTP requests become request.Requests.

import (
	"encoding/json"
	"strings"

	"github.com/gofiber/fiber/v2"

	"bulrushtally/config"
	"bulrushtally/request"
)

// complete serves POST /v1/chat/completions, where the model names the service.
func (v *Server) complete(c *fiber.Ctx) error {
	number := v.newNumber()
	view := v.store.View()
	customer, f := v.identify(c, view)
	if f != nil {
		return writeFailure(c, number, request.NotRun, f, 0)
	}
	var body struct {
		Model  string `json:"model"`
		Stream bool   `json:"stream"`
	}
	if err := json.Unmarshal(c.Body(), &body); err != nil {
		return writeFailure(c, number, request.NotRun, request.Fail(request.CodeBadRequest, "body is not a JSON object: %v", err), 0)
	}
	svc, f := findService(view, customer, body.Model, true)
	if f != nil {
		return writeFailure(c, number, request.NotRun, f, 0)
	}
	r := v.newRequest(c, number, customer, svc)
	r.Path = "/v1/chat/completions"
	r.Stream = body.Stream
	return v.serve(c, r)
}

// plain serves /services/NAME/..., any method.
func (v *Server) plain(c *fiber.Ctx) error {
	number := v.newNumber()
	view := v.store.View()
	customer, f := v.identify(c, view)
	if f != nil {
		return writeFailure(c, number, request.NotRun, f, 0)
	}
	svc, f := findService(view, customer, c.Params("name"), false)
	if f != nil {
		return writeFailure(c, number, request.NotRun, f, 0)
	}
	r := v.newRequest(c, number, customer, svc)
	r.Path = "/" + c.Params("*")
	if q := c.Request().URI().QueryString(); len(q) > 0 {
		r.Path += "?" + string(q)
	}
	return v.serve(c, r)
}

func findService(view *config.View, customer, name string, model bool) (*config.Object, *request.Failure) {
	svc := view.Get(config.KindService, name)
	if svc == nil || svc.ModelService() != model {
		return nil, request.Fail(request.CodeUnknownService, "no such service %q on this path", name)
	}
	if !view.MayUse(customer, name) {
		return nil, request.Fail(request.CodeForbidden, "no selector lets customer %q use service %q", customer, name)
	}
	return svc, nil
}

func (v *Server) newRequest(c *fiber.Ctx, number, customer string, svc *config.Object) *request.Request {
	return &request.Request{
		Number:     number,
		Customer:   customer,
		Service:    svc.Name,
		Method:     c.Method(),
		Headers:    forwarded(c),
		Body:       c.Body(),
		Model:      svc.ModelService(),
		Repeatable: repeatable(c, svc),
	}
}

// passedHeaders are the request headers that backend servers get.
var passedHeaders = map[string]bool{
	"accept": true, "accept-language": true, "content-type": true, "user-agent": true, "traceparent": true,
}

// passedPrefix begins the names of further headers that plain services get.
const passedPrefix = "x-"

func forwarded(c *fiber.Ctx) []request.Header {
	var list []request.Header
	for k, val := range c.Request().Header.All() {
		name := strings.ToLower(string(k))
		own := name == "x-request-id" || strings.HasPrefix(name, "x-forwarded-")
		if passedHeaders[name] || strings.HasPrefix(name, passedPrefix) && !own {
			list = append(list, request.Header{Name: string(k), Value: string(val)})
		}
	}
	return list
}

// repeatable returns whether a request may run more than once: by its own header,
// the service's label, or its kind.
func repeatable(c *fiber.Ctx, svc *config.Object) bool {
	switch c.Get(HeaderRepeatable) {
	case "true":
		return true
	case "false":
		return false
	}
	switch svc.Labels[config.LabelRepeatable] {
	case "true":
		return true
	case "false":
		return false
	}
	if svc.ModelService() {
		return true
	}
	switch c.Method() {
	case fiber.MethodGet, fiber.MethodHead, fiber.MethodOptions, fiber.MethodTrace:
		return true
	}
	return false
}

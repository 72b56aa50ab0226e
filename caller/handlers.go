package caller

// This file defines the handlers of callers' HTTP requests, which convert them to
// request.Requests.

import (
	"encoding/json"
	"strings"

	"github.com/gofiber/fiber/v2"

	"bulrushtally/config"
	"bulrushtally/request"
)

// handleChatCompletion handles POST /v1/chat/completions. The model in the body is
// the name of the service.
func (s *Server) handleChatCompletion(c *fiber.Ctx) error {
	requestID := s.newRequestID()
	view := s.store.View()
	customer, f := s.authenticate(c, view)
	if f != nil {
		return writeFailure(c, requestID, request.OutcomeNotRun, f, 0)
	}
	var body struct {
		Model  string `json:"model"`
		Stream bool   `json:"stream"`
	}
	if err := json.Unmarshal(c.Body(), &body); err != nil {
		return writeFailure(c, requestID, request.OutcomeNotRun, request.NewFailure(request.CodeBadRequest, "body is not a JSON object: %v", err), 0)
	}
	svc, f := findService(view, customer, body.Model, true)
	if f != nil {
		return writeFailure(c, requestID, request.OutcomeNotRun, f, 0)
	}
	r := s.newRequest(c, requestID, customer, svc)
	r.Path = "/v1/chat/completions"
	r.Stream = body.Stream
	return s.serve(c, r)
}

// handlePlainService handles requests of any method to /services/NAME/..., where
// NAME is a service that is not a model service.
func (s *Server) handlePlainService(c *fiber.Ctx) error {
	requestID := s.newRequestID()
	view := s.store.View()
	customer, f := s.authenticate(c, view)
	if f != nil {
		return writeFailure(c, requestID, request.OutcomeNotRun, f, 0)
	}
	svc, f := findService(view, customer, c.Params("name"), false)
	if f != nil {
		return writeFailure(c, requestID, request.OutcomeNotRun, f, 0)
	}
	r := s.newRequest(c, requestID, customer, svc)
	r.Path = "/" + c.Params("*")
	if q := c.Request().URI().QueryString(); len(q) > 0 {
		r.Path += "?" + string(q)
	}
	return s.serve(c, r)
}

// findService returns the service with the given name. It fails if there is none, if
// model differs from whether it is a model service, or if the customer may not use it.
func findService(view *config.View, customer, name string, model bool) (*config.Object, *request.Failure) {
	svc := view.Get(config.KindService, name)
	if svc == nil || svc.ServesModels() != model {
		return nil, request.NewFailure(request.CodeUnknownService, "no such service %q on this path", name)
	}
	if !view.MayUse(customer, name) {
		return nil, request.NewFailure(request.CodeForbidden, "no selector lets customer %q use service %q", customer, name)
	}
	return svc, nil
}

// newRequest returns a request whose Path and Stream are still to be set.
func (s *Server) newRequest(c *fiber.Ctx, requestID, customer string, svc *config.Object) *request.Request {
	return &request.Request{
		ID:         requestID,
		Customer:   customer,
		Service:    svc.Name,
		Method:     c.Method(),
		Headers:    forwardedHeaders(c),
		Body:       c.Body(),
		Model:      svc.ServesModels(),
		Repeatable: isRepeatable(c, svc),
	}
}

// forwardedHeaderNames are the request headers, in lower case, that are forwarded to
// backend servers.
var forwardedHeaderNames = map[string]bool{
	"accept": true, "accept-language": true, "content-type": true, "user-agent": true, "traceparent": true,
}

// forwardedHeaderPrefix is the prefix of further header names that are forwarded.
// The headers X-Request-Id and X-Forwarded-* are excepted.
const forwardedHeaderPrefix = "x-"

// forwardedHeaders returns the headers of a request that backend servers receive.
func forwardedHeaders(c *fiber.Ctx) []request.Header {
	var list []request.Header
	for k, value := range c.Request().Header.All() {
		name := strings.ToLower(string(k))
		excepted := name == "x-request-id" || strings.HasPrefix(name, "x-forwarded-")
		if forwardedHeaderNames[name] || strings.HasPrefix(name, forwardedHeaderPrefix) && !excepted {
			list = append(list, request.Header{Name: string(k), Value: string(value)})
		}
	}
	return list
}

// isRepeatable reports whether running a request more than once is safe. The first of
// these that says so decides: the header HeaderRepeatable, the service's label, the
// kind of the service and the HTTP method.
func isRepeatable(c *fiber.Ctx, svc *config.Object) bool {
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
	if svc.ServesModels() {
		return true
	}
	switch c.Method() {
	case fiber.MethodGet, fiber.MethodHead, fiber.MethodOptions, fiber.MethodTrace:
		return true
	}
	return false
}

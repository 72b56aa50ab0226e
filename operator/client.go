package operator

// This file defines Client, the API client of the command line's operator commands.

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"bulrushtally/config"
	"bulrushtally/schedule"
)

const (
	callTimeout      = 15 * time.Second // of one HTTP call
	maxResponseBytes = 64 << 20         // size of the largest response body
)

// Client calls the administration API of one router. Its methods return a *Failure if the API
// responds with one.
type Client struct {
	baseURL, key string
	http         *fasthttp.Client
}

// NewClient returns a client for the router at a URL, such as http://10.0.0.1:8080, that
// authenticates with an operator's key.
func NewClient(base, key string) *Client {
	return &Client{baseURL: base + BasePath, key: key, http: &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxResponseBytes,
		ConfigureClient:           checkResponses,
	}}
}

// call sends an HTTP request with body encoded as JSON, unless it is nil, and decodes the
// response into result, unless that is nil. It returns a *Failure for an error response.
func (c *Client) call(method, path string, headers map[string]string, body, result any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(c.baseURL + path)
	req.Header.Set("Authorization", "Bearer "+c.key)
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return err
		}
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(data)
	}
	if err := c.http.DoTimeout(req, resp, callTimeout); err != nil {
		return fmt.Errorf("router cannot be reached: %w; check -url, or use another router", err)
	}
	if resp.StatusCode() >= 300 {
		f := &Failure{}
		if err := json.Unmarshal(resp.Body(), f); err != nil || f.Code == "" {
			return fmt.Errorf("status %d: %s", resp.StatusCode(), resp.Body())
		}
		return f
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(resp.Body(), result)
}

// Get returns an object.
func (c *Client) Get(k config.Kind, name string) (*config.Object, error) {
	o := &config.Object{}
	err := c.call("GET", "/"+string(k)+"/"+url.PathEscape(name), nil, nil, o)
	return o, err
}

// List returns all objects of a kind that match a selector, sorted by name.
func (c *Client) List(k config.Kind, selector string) ([]*config.Object, error) {
	var all []*config.Object
	after := ""
	for {
		var p Page
		q := url.Values{"selector": {selector}, "after": {after}, "limit": {strconv.Itoa(maxPageSize)}}
		if err := c.call("GET", "/"+string(k)+"?"+q.Encode(), nil, nil, &p); err != nil {
			return nil, err
		}
		all = append(all, p.Objects...)
		if p.Next == "" {
			return all, nil
		}
		after = p.Next
	}
}

// ChangeOptions are the parameters of a change.
type ChangeOptions struct {
	RequestNumber string // request number; if empty, a new one is generated
	Version       string // value of If-Match, a version or *; if empty, the object is created
	DryRun        bool   // only check the change and return its effects
	Force         bool   // accept it even if it leaves a service or customer without a backend server
}

// queryString returns the query string of a change, with the question mark.
func (h ChangeOptions) queryString() string {
	q := url.Values{}
	if h.DryRun {
		q.Set("dryRun", "true")
	}
	if h.Force {
		q.Set("force", "true")
	}
	return "?" + q.Encode()
}

// headers returns the headers of a change.
func (h ChangeOptions) headers() map[string]string {
	fields := map[string]string{HeaderRequestNumber: h.RequestNumber}
	if h.RequestNumber == "" {
		fields[HeaderRequestNumber] = uuid.NewString()
	}
	if h.Version != "" {
		fields[fasthttp.HeaderIfMatch] = h.Version
	} else {
		fields[fasthttp.HeaderIfNoneMatch] = "*"
	}
	return fields
}

// Put creates or replaces an object.
func (c *Client) Put(o *config.Object, h ChangeOptions) (*ChangeResult, error) {
	a := &ChangeResult{}
	err := c.call("PUT", "/"+string(o.Kind)+"/"+url.PathEscape(o.Name)+h.queryString(), h.headers(), o, a)
	return a, err
}

// Delete deletes an object.
func (c *Client) Delete(k config.Kind, name string, h ChangeOptions) (*ChangeResult, error) {
	a := &ChangeResult{}
	err := c.call("DELETE", "/"+string(k)+"/"+url.PathEscape(name)+h.queryString(), h.headers(), nil, a)
	return a, err
}

// Label sets and removes labels of an object. If ChangeOptions has no version, the change
// applies to any version of the object.
func (c *Client) Label(k config.Kind, name string, l LabelChange, h ChangeOptions) (*ChangeResult, error) {
	a := &ChangeResult{}
	headers := h.headers()
	delete(headers, fasthttp.HeaderIfNoneMatch)
	err := c.call("PATCH", "/"+string(k)+"/"+url.PathEscape(name)+"/labels"+h.queryString(), headers, l, a)
	return a, err
}

// Audit returns all changes after a revision, oldest first.
func (c *Client) Audit(after uint64) ([]*config.Change, error) {
	var all []*config.Change
	for {
		var page []*config.Change
		if err := c.call("GET", "/audit?after="+strconv.FormatUint(after, 10), nil, nil, &page); err != nil {
			return nil, err
		}
		if len(page) == 0 {
			return all, nil
		}
		all = append(all, page...)
		after = page[len(page)-1].Revision
	}
}

// Status returns the state of the fleet as known to the router.
func (c *Client) Status() (*Status, error) {
	s := &Status{}
	err := c.call("GET", "/status", nil, nil, s)
	return s, err
}

// Suspects returns the crash records of requests that were running when backend servers crashed.
func (c *Client) Suspects() ([]schedule.CrashRecord, error) {
	var list []schedule.CrashRecord
	err := c.call("GET", "/suspects", nil, nil, &list)
	return list, err
}

// ClearSuspect deletes the crash record of a request digest on all routers that the router
// can reach.
func (c *Client) ClearSuspect(digest uint64) error {
	return c.call("DELETE", "/suspects/"+strconv.FormatUint(digest, 10), nil, nil, nil)
}

// LaggingRouters returns the VMs of the live routers whose configuration is older than a
// revision.
func (s *Status) LaggingRouters(revision uint64) []string {
	var list []string
	for _, r := range s.Routers {
		if r.Revision < revision {
			list = append(list, r.VM)
		}
	}
	return list
}

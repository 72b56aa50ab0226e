package operator

// This file defines Client, which operators' commands use to reach the API.

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

// clientTimeout bounds one call of a Client.
const clientTimeout = 15 * time.Second

// Client calls the administration API of one router.
type Client struct {
	base, key string
	http      *fasthttp.Client
}

// NewClient returns a client for a router's URL, such as http://10.0.0.1:8080, and an operator's key.
func NewClient(base, key string) *Client {
	return &Client{base: base + Base, key: key, http: &fasthttp.Client{MaxIdemponentCallAttempts: 1}}
}

// call makes one call. It returns a *Failure for an answer that is an error.
func (c *Client) call(method, path string, headers map[string]string, body, into any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(c.base + path)
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
	if err := c.http.DoTimeout(req, resp, clientTimeout); err != nil {
		return fmt.Errorf("router cannot be reached: %w; check -url, or use another router", err)
	}
	if resp.StatusCode() >= 300 {
		f := &Failure{}
		if err := json.Unmarshal(resp.Body(), f); err != nil || f.Code == "" {
			return fmt.Errorf("status %d: %s", resp.StatusCode(), resp.Body())
		}
		return f
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(resp.Body(), into)
}

// Get returns an object, or a *Failure.
func (c *Client) Get(k config.Kind, name string) (*config.Object, error) {
	o := &config.Object{}
	err := c.call("GET", "/"+string(k)+"/"+url.PathEscape(name), nil, nil, o)
	return o, err
}

// List returns all objects of a kind that a selector matches.
func (c *Client) List(k config.Kind, selector string) ([]*config.Object, error) {
	var all []*config.Object
	after := ""
	for {
		var p Page
		q := url.Values{"selector": {selector}, "after": {after}, "limit": {strconv.Itoa(maxPage)}}
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

// How says how a change is to be made.
type How struct {
	Request string // request number; a new one if empty
	Version string // If-Match: a version or *; empty to create
	DryRun  bool
	Force   bool
}

func (h How) query() string {
	q := url.Values{}
	if h.DryRun {
		q.Set("dryRun", "true")
	}
	if h.Force {
		q.Set("force", "true")
	}
	return "?" + q.Encode()
}

func (h How) headers() map[string]string {
	m := map[string]string{HeaderRequest: h.Request}
	if h.Request == "" {
		m[HeaderRequest] = uuid.NewString()
	}
	if h.Version != "" {
		m[fasthttp.HeaderIfMatch] = h.Version
	} else {
		m[fasthttp.HeaderIfNoneMatch] = "*"
	}
	return m
}

// Put creates or replaces an object.
func (c *Client) Put(o *config.Object, h How) (*Accepted, error) {
	a := &Accepted{}
	err := c.call("PUT", "/"+string(o.Kind)+"/"+url.PathEscape(o.Name)+h.query(), h.headers(), o, a)
	return a, err
}

// Delete deletes an object.
func (c *Client) Delete(k config.Kind, name string, h How) (*Accepted, error) {
	a := &Accepted{}
	err := c.call("DELETE", "/"+string(k)+"/"+url.PathEscape(name)+h.query(), h.headers(), nil, a)
	return a, err
}

// Label changes labels of an object, of any version if How has none.
func (c *Client) Label(k config.Kind, name string, l LabelChange, h How) (*Accepted, error) {
	a := &Accepted{}
	headers := h.headers()
	delete(headers, fasthttp.HeaderIfNoneMatch)
	err := c.call("PATCH", "/"+string(k)+"/"+url.PathEscape(name)+"/labels"+h.query(), headers, l, a)
	return a, err
}

// Audit returns the changes after a revision, all of them.
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

// Status returns the router's view of the fleet.
func (c *Client) Status() (*Status, error) {
	s := &Status{}
	err := c.call("GET", "/status", nil, nil, s)
	return s, err
}

// Suspects returns the requests that were running when backend servers died.
func (c *Client) Suspects() ([]schedule.CrashRecord, error) {
	var list []schedule.CrashRecord
	err := c.call("GET", "/suspects", nil, nil, &list)
	return list, err
}

// ClearSuspect forgets a request's deaths.
func (c *Client) ClearSuspect(digest uint64) error {
	return c.call("DELETE", "/suspects/"+strconv.FormatUint(digest, 10), nil, nil, nil)
}

// Lagging returns the live routers that do not hold a revision yet.
func (s *Status) Lagging(revision uint64) []string {
	var list []string
	for _, r := range s.Routers {
		if r.Revision < revision {
			list = append(list, r.VM)
		}
	}
	return list
}

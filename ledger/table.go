package ledger

// This file defines the types and Client methods of the table service, the object store and
// the list of VMs.

import (
	"net/url"
	"strconv"
)

// Row is a row of the table.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"` // increases with each write of any row
}

// Check is a condition of a transaction: a row has the given version or, if that is 0, does
// not exist.
type Check struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put sets the value of a row in a transaction.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Txn is a transaction. If all its checks hold, all its writes take effect, otherwise none.
type Txn struct {
	Checks  []Check  `json:"checks,omitempty"`
	Puts    []Put    `json:"puts,omitempty"`
	Deletes []string `json:"deletes,omitempty"`
}

// Table is the transactional table service.
type Table interface {
	// Get returns a row, or an Error of kind NotFound.
	Get(key string) (Row, error)
	// Rows returns up to limit rows with a key prefix whose keys come after a key, in key
	// order.
	Rows(prefix, after string, limit int) ([]Row, error)
	// Commit runs a transaction. If it returns an Error of kind Ambiguous, the transaction
	// may have taken effect; with any other error it has not.
	Commit(t Txn) error
}

var _ Table = (*Client)(nil)

// Get returns a row, or an Error of kind NotFound.
func (c *Client) Get(key string) (Row, error) {
	var r Row
	err := c.read("/table/row", url.Values{"key": {key}}, &r)
	return r, err
}

// Rows returns up to limit rows with a key prefix whose keys come after a key, in key order.
func (c *Client) Rows(prefix, after string, limit int) ([]Row, error) {
	var rows []Row
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	err := c.read("/table/rows", query, &rows)
	return rows, err
}

// Commit runs a transaction. Its errors are as for Table.Commit.
func (c *Client) Commit(t Txn) error { return c.write("POST", "/table/txn", t, nil) }

// PutObject stores an object, replacing it if it exists.
func (c *Client) PutObject(name string, data []byte) error {
	return c.write("PUT", "/objects/"+name, data, nil)
}

// Object returns a stored object, or an Error of kind NotFound.
func (c *Client) Object(name string) ([]byte, error) {
	var data []byte
	err := c.read("/objects/"+name, nil, &data)
	return data, err
}

// Roles of VMs on the platform's list.
const (
	RoleRouter  = "router"
	RoleBackend = "backend"
)

// VM is an entry of the platform's list of VMs, which may be out of date.
type VM struct {
	Name    string `json:"name"`
	Role    string `json:"role"`    // RoleRouter or RoleBackend
	Address string `json:"address"` // of a router: where other routers connect
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving"`
}

// VMs returns the platform's list of VMs.
func (c *Client) VMs() ([]VM, error) {
	var list []VM
	err := c.read("/vms", nil, &list)
	return list, err
}

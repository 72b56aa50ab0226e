package ledger

// This file defines Log, the configuration's log of changes in the table.
//
// Rows: "config/head" holds the newest revision; "config/change/N" each change,
// which is its audit record too; "config/request/OFFICE/NUMBER" the revision that
// an operator's request led to. One transaction writes all three and checks the
// head, so changes have one order and a request takes effect at most once.

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"bulrushtally/config"
)

const (
	headKey       = "config/head"
	changePrefix  = "config/change/"
	requestPrefix = "config/request/"
	snapshotName  = "config/snapshot"
	pageSize      = 500
)

// commitAttempts bounds how often a change is tried anew when others move the head.
const commitAttempts = 40

// InDoubtError says that nobody can tell yet whether a change was accepted.
type InDoubtError struct {
	Request string
	Err     error
}

// Error describes the doubt and its remedy.
func (e *InDoubtError) Error() string {
	return fmt.Sprintf("change in doubt: %v; ask again with request number %q", e.Err, e.Request)
}

// Unwrap returns the cause.
func (e *InDoubtError) Unwrap() error { return e.Err }

// Log reads and extends the log of changes.
type Log struct {
	table   Table
	objects Objects
}

// Objects is the object store.
type Objects interface {
	PutObject(name string, data []byte) error
	Object(name string) ([]byte, error)
}

// NewLog returns a Log on a table and an object store.
func NewLog(t Table, o Objects) *Log { return &Log{table: t, objects: o} }

type head struct {
	Revision uint64 `json:"revision"`
}

func changeKey(revision uint64) string { return fmt.Sprintf("%s%012d", changePrefix, revision) }

func requestKey(c *config.Change) string { return requestPrefix + c.Operator + "/" + c.Request }

// Head returns the newest revision.
func (l *Log) Head() (uint64, error) {
	h, _, err := l.head()
	return h.Revision, err
}

func (l *Log) head() (head, uint64, error) {
	var h head
	row, err := l.table.Get(headKey)
	if IsKind(err, NotFound) {
		return h, 0, nil
	}
	if err != nil {
		return h, 0, err
	}
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return h, 0, fmt.Errorf("row %q: %w", headKey, err)
	}
	return h, row.Version, nil
}

// Since returns the changes after a revision, in order; a page at a time.
func (l *Log) Since(revision uint64) ([]*config.Change, error) {
	rows, err := l.table.Rows(changePrefix, changeKey(revision), pageSize)
	if err != nil {
		return nil, err
	}
	list := make([]*config.Change, 0, len(rows))
	for _, r := range rows {
		var c config.Change
		if err := json.Unmarshal(r.Value, &c); err != nil {
			return nil, fmt.Errorf("row %q: %w", r.Key, err)
		}
		list = append(list, &c)
	}
	return list, nil
}

// Snapshot returns the newest stored snapshot, or an Error of kind NotFound.
func (l *Log) Snapshot() (config.Snapshot, error) {
	var s config.Snapshot
	data, err := l.objects.Object(snapshotName)
	if err != nil {
		return s, err
	}
	err = json.Unmarshal(data, &s)
	return s, err
}

// StoreSnapshot stores a snapshot, from which newcomers start.
func (l *Log) StoreSnapshot(s config.Snapshot) error {
	data, err := json.Marshal(s)
	if err != nil {
		return err
	}
	return l.objects.PutObject(snapshotName, data)
}

// CatchUp moves a store to the newest revision.
func (l *Log) CatchUp(s *config.Store) error {
	if s.View().Revision() == 0 {
		snap, err := l.Snapshot()
		if err == nil {
			s.Restore(snap)
		} else if !IsKind(err, NotFound) {
			return err
		}
	}
	for {
		list, err := l.Since(s.View().Revision())
		if err != nil {
			return err
		}
		if err := s.Offer(list...); err != nil {
			return err
		}
		if len(list) < pageSize {
			return nil
		}
	}
}

// Draft is a change to be accepted: who asks, and how the change follows from a state.
type Draft struct {
	Request  string
	Operator string
	Office   string
	When     int64 // Unix milliseconds
	Plan     func(s *config.State) (*config.Change, error)
}

// Commit has a change accepted, and returns it as it stands in the log.
//
// It returns the plan's error if the change is refused, an *InDoubtError if its
// fate is unknown, and an Error if it certainly had no effect. Asking again with
// the same request number returns the change that was accepted, if any was.
func (l *Log) Commit(s *config.Store, d Draft) (*config.Change, error) {
	doubt := false
	for range commitAttempts {
		c, err := l.tryCommit(s, d)
		switch {
		case err == nil:
			return c, nil
		case IsKind(err, Conflict):
			continue
		case IsKind(err, Ambiguous):
			doubt = true
			continue
		case isPlatform(err) && doubt:
			return nil, &InDoubtError{d.Request, err}
		}
		return nil, err
	}
	err := errors.New("the log moved on or answers were lost at each attempt")
	if doubt {
		return nil, &InDoubtError{d.Request, err}
	}
	return nil, &Error{Throttled, "commit", err}
}

func isPlatform(err error) bool {
	var e *Error
	return errors.As(err, &e)
}

// tryCommit makes one attempt on the newest head.
//
// An earlier attempt whose answer was lost may still arrive. It checks the head
// that it saw, so it takes effect before this attempt does or not at all; and if
// it does, this attempt meets a conflict and the next one finds its request row.
func (l *Log) tryCommit(s *config.Store, d Draft) (*config.Change, error) {
	h, version, err := l.head()
	if err != nil {
		return nil, err
	}
	if err := l.CatchUp(s); err != nil {
		return nil, err
	}
	state := s.View().State
	if state.Revision() != h.Revision {
		return nil, &Error{Conflict, "commit", fmt.Errorf("head %d moved to %d meanwhile", h.Revision, state.Revision())}
	}
	named := &config.Change{Request: d.Request, Operator: d.Operator}
	if done, err := l.accepted(named); err != nil || done != nil {
		return done, err
	}
	c, err := d.Plan(state)
	if err != nil {
		return nil, err
	}
	c.Request, c.Operator, c.Office, c.When = d.Request, d.Operator, d.Office, d.When
	if err := l.table.Commit(l.transaction(c, version)); err != nil {
		return nil, err
	}
	return c, s.Offer(c)
}

func (l *Log) transaction(c *config.Change, headVersion uint64) Txn {
	newHead, _ := json.Marshal(head{c.Revision})
	change, _ := json.Marshal(c)
	return Txn{
		Checks: []Check{{headKey, headVersion}, {requestKey(c), 0}},
		Puts: []Put{
			{headKey, newHead},
			{changeKey(c.Revision), change},
			{requestKey(c), []byte(strconv.FormatUint(c.Revision, 10))},
		},
	}
}

// accepted returns the change that a request number led to, or nil.
func (l *Log) accepted(c *config.Change) (*config.Change, error) {
	row, err := l.table.Get(requestKey(c))
	if IsKind(err, NotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	revision, err := strconv.ParseUint(string(row.Value), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("row %q: %w", row.Key, err)
	}
	return l.Change(revision)
}

// Change returns one change of the log, or an Error of kind NotFound.
func (l *Log) Change(revision uint64) (*config.Change, error) {
	row, err := l.table.Get(changeKey(revision))
	if err != nil {
		return nil, err
	}
	var c config.Change
	if err := json.Unmarshal(row.Value, &c); err != nil {
		return nil, fmt.Errorf("row %q: %w", row.Key, err)
	}
	return &c, nil
}

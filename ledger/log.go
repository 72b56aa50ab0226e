package ledger

// This file defines Log, the change log of the configuration, which is stored in the table.
//
// It has three kinds of rows. "config/head" holds the newest revision. "config/change/N"
// holds the change of revision N, which is also its audit record.
// "config/request/OPERATOR/NUMBER" holds the revision of the change that an operator's
// request made. One transaction writes all three and checks the versions of the head and
// the request row. So changes have a total order, and a request takes effect at most once.

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"bulrushtally/config"
)

const (
	headKey        = "config/head"
	changePrefix   = "config/change/"
	requestPrefix  = "config/request/"
	snapshotName   = "config/snapshot"
	changesPerPage = 500 // limit of one read of changes
)

// maxCommitAttempts limits the attempts to commit a change while other changes move the head
// or responses are lost.
const maxCommitAttempts = 40

// InDoubtError reports that it is unknown whether a change was accepted.
type InDoubtError struct {
	Request string // request number, with which the change can be submitted again
	Err     error
}

// Error returns the cause and how to learn the outcome.
func (e *InDoubtError) Error() string {
	return fmt.Sprintf("change in doubt: %v; ask again with request number %q", e.Err, e.Request)
}

// Unwrap returns the cause.
func (e *InDoubtError) Unwrap() error { return e.Err }

// Log reads and appends to the change log of the configuration.
type Log struct {
	table   Table
	objects ObjectStore
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	// PutObject stores an object, replacing it if it exists.
	PutObject(name string, data []byte) error
	// Object returns an object, or an Error of kind NotFound.
	Object(name string) ([]byte, error)
}

// NewLog returns a Log that stores changes in t and snapshots in o.
func NewLog(t Table, o ObjectStore) *Log { return &Log{table: t, objects: o} }

// head is the value of the row "config/head".
type head struct {
	Revision uint64 `json:"revision"`
}

func changeKey(revision uint64) string { return fmt.Sprintf("%s%012d", changePrefix, revision) }

func requestKey(c *config.Change) string { return requestPrefix + c.Operator + "/" + c.RequestNumber }

// Head returns the newest revision, or 0 if the log is empty.
func (l *Log) Head() (uint64, error) {
	h, _, err := l.readHead()
	return h.Revision, err
}

// readHead returns the head and its row version. Both are zero if the log is empty.
func (l *Log) readHead() (head, uint64, error) {
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

// Since returns the changes after a revision in order, at most changesPerPage of them.
func (l *Log) Since(revision uint64) ([]*config.Change, error) {
	rows, err := l.table.Rows(changePrefix, changeKey(revision), changesPerPage)
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

// StoreSnapshot stores a snapshot, which replaces the stored one. Routers that start without
// a configuration load it.
func (l *Log) StoreSnapshot(s config.Snapshot) error {
	data, err := json.Marshal(s)
	if err != nil {
		return err
	}
	return l.objects.PutObject(snapshotName, data)
}

// CatchUp applies the changes of the log to s up to the newest revision. An empty store first
// loads the stored snapshot, if there is one.
func (l *Log) CatchUp(s *config.Store) error {
	if s.View().Revision() == 0 {
		snap, err := l.Snapshot()
		if err == nil {
			s.ApplySnapshot(snap)
		} else if !IsKind(err, NotFound) {
			return err
		}
	}
	for {
		list, err := l.Since(s.View().Revision())
		if err != nil {
			return err
		}
		if err := s.ApplyChanges(list...); err != nil {
			return err
		}
		if len(list) < changesPerPage {
			return nil
		}
	}
}

// Proposal is a change to be committed: who requests it, and how to derive it from a state.
type Proposal struct {
	Request  string // request number, unique per operator
	Operator string
	Office   string
	UnixMs   int64 // Unix milliseconds
	// Plan returns the change to make on state s, or an error if the change is rejected.
	// Each attempt to commit calls it.
	Plan func(s *config.State) (*config.Change, error)
}

// Commit appends a change to the log and returns it. It also applies the log's changes to s.
//
// It returns the error of p.Plan if the change is rejected, an *InDoubtError if it is unknown
// whether the change was accepted, and an *Error if the change certainly was not. If a change
// of the same operator and request number was accepted before, Commit returns that change.
func (l *Log) Commit(s *config.Store, p Proposal) (*config.Change, error) {
	inDoubt := false
	for range maxCommitAttempts {
		c, err := l.tryCommit(s, p)
		switch {
		case err == nil:
			return c, nil
		case IsKind(err, Conflict):
			continue
		case IsKind(err, Ambiguous):
			inDoubt = true
			continue
		case isPlatformError(err) && inDoubt:
			return nil, &InDoubtError{p.Request, err}
		}
		return nil, err
	}
	err := errors.New("the log moved on or answers were lost at each attempt")
	if inDoubt {
		return nil, &InDoubtError{p.Request, err}
	}
	return nil, &Error{Throttled, "commit", err}
}

// isPlatformError reports whether err is or wraps an *Error.
func isPlatformError(err error) bool {
	var e *Error
	return errors.As(err, &e)
}

// tryCommit makes one attempt to commit a change on the newest head.
//
// An earlier attempt whose response was lost may still arrive at the table. It checks the
// head version that it read, so it can only take effect before this attempt does. If it
// takes effect, this attempt gets a conflict, and the next attempt finds its request row.
func (l *Log) tryCommit(s *config.Store, p Proposal) (*config.Change, error) {
	h, version, err := l.readHead()
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
	requested := &config.Change{RequestNumber: p.Request, Operator: p.Operator}
	if existing, err := l.acceptedChange(requested); err != nil || existing != nil {
		return existing, err
	}
	c, err := p.Plan(state)
	if err != nil {
		return nil, err
	}
	c.RequestNumber, c.Operator, c.Office, c.AcceptedUnixMs = p.Request, p.Operator, p.Office, p.UnixMs
	if err := l.table.Commit(l.commitTxn(c, version)); err != nil {
		return nil, err
	}
	return c, s.ApplyChanges(c)
}

// commitTxn returns the transaction that appends c to the log, if the head row still has
// version headVersion and the request has not been accepted.
func (l *Log) commitTxn(c *config.Change, headVersion uint64) Txn {
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

// acceptedChange returns the change that was accepted for the operator and request number of
// c, or nil if there is none.
func (l *Log) acceptedChange(c *config.Change) (*config.Change, error) {
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

// Change returns the change of a revision, or an Error of kind NotFound.
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

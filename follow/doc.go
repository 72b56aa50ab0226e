// Package follow keeps a copy of a table of the platform's store.
//
// A Follower reads the table once and then waits for changes. It reads again only
// when the store no longer has the history in between.
package follow

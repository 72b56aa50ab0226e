// Package follow keeps a local copy of a table of the platform's store up to date.
//
// A Follower reads the whole table once and then polls the store for changes. It reads
// the whole table again only if the store has dropped the changes in between.
// A passive Follower does not poll; it applies the Deltas that other routers' Followers send.
package follow

// Package streamversion decides at which software version of its backend servers a stream may go on, and from what a
// router knows that for certain.
//
// What two versions of a service's servers write does not fit together, so a stream keeps to the version that wrote its first
// event. Its caller may take it up at any router, also after all routers were restarted. What is known comes from three
// places:
//
//   - A Log holds the streams that a router has begun and that may still be taken up.
//   - Each router writes its Log to a row of the store, but only while a service has streams of several versions, or may have.
//     In a large fleet a collector does so for its group, whose routers send it Reports.
//   - One row of the store, Versions, lists the versions at which streams may have begun. A version is in it before the first
//     stream begins there, and stays until the last stream of it has ended. If it lists one version of a service, that is the
//     version of each stream of the service, and no Log is needed.
//
// What none of them tells is unknown, and such a stream is not taken up. Keeper is a router's part in keeping Versions right.
// A server whose entry names no version counts as being of version "", at which streams may begin and none goes on.
//
// The package does no I/O, takes the time as an argument and is not safe for concurrent use.
package streamversion

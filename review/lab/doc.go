// Command review-lab plays the cases of the review. Each case starts routers as processes of their own, by the commands
// and the settings template of the deploy file, beside stand-ins of the platform's store, of backend servers and of
// callers in this process, all on loopback.
//
// It writes what was sent, answered and run to a record, and exits with 1 if the rule of the case was broken, 0 if it
// held, and 2 if the case could not run. With TROUBLE=0 in the environment, it leaves the disruption out.
package main

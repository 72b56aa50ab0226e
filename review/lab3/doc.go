// Lab3 plays the cases of the third review that are scripts: it starts routers as the deploy file does, with stand-ins of the
// platform, of backend servers and of callers around them, and reports whether a rule of the users was broken.
//
// A case exits with 1 if its rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

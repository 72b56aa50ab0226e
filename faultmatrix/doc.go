// Package faultmatrix holds the fault matrix test: it injects every fault that the routers must
// tolerate, alone and in pairs, at every step of a request and of a configuration change. The
// test also writes docs/FAULTS.md from its tables.
package faultmatrix

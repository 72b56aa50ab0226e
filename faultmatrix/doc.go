// Package faultmatrix holds the fault matrix: every fault of the brief, alone and
// in pairs, injected at every step of a request and of a change of the
// configuration. Its test writes docs/FAULTS.md from its own table.
package faultmatrix

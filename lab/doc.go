// Package lab runs a fleet of routers, with stand-ins for the platform and the backend
// servers, in one process. It sends callers' load to the fleet and measures latency,
// fairness, utilization and the effect of faults.
package lab

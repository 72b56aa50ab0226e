// Package gateway is a router on a platform whose metadata store holds the
// configuration and the list of backend servers. It creates the parts of the
// router, starts them, and stops them in order.
//
// Each router follows the store on its own and sends requests directly to backend
// servers. The summaries that routers exchange only improve decisions; every fleet limit
// is also kept without them.
package gateway

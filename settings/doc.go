// Package settings reads the settings of a router from an INI file and validates them.
// All errors of a file are reported at once, each with its section, key and value and how
// to correct it.
//
// Settings are for a router that schedules requests in shards (Read), Gateway for a
// router on a platform that lists backend servers itself (ReadGateway).
package settings

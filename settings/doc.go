// Package settings reads a router's settings from an INI file, checks them, and
// reports every fault at once with its section, key, value and remedy.
package settings

// Package config holds the live configuration of a region: teams, keys, services, routes and targets.
package config

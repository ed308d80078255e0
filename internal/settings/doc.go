// Package settings holds the static settings of one entry instance.
package settings

//go:build !cgo

// Package earlysignal does nothing in a build without cgo.
package earlysignal

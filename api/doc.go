// Package api defines the messages that callers and operators exchange with entry instances.
package api

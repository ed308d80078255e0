// Package api defines the values and errors that the platform's services exchange with entry instances.
// Consumers declare their own small interfaces that use these types; package platform implements them.
package api

import "github.com/pkg/errors"

var (
	// ErrConflict reports that a row did not have the expected revision. Nothing was written.
	ErrConflict = errors.New("revision conflict")
	// ErrNotFound reports that the row or object does not exist. It is a regular result, not a failure.
	ErrNotFound = errors.New("not found")
	// ErrUnavailable reports that the call certainly had no effect.
	ErrUnavailable = errors.New("platform unavailable, call had no effect")
	// ErrThrottled reports that the platform throttles calls. An error that is ErrThrottled is also ErrUnavailable.
	ErrThrottled = errors.New("platform throttles calls")
	// ErrEffectUnknown reports that the call may have taken effect. The caller reads the state or retries the call with
	// the same token.
	ErrEffectUnknown = errors.New("platform response lost, call may have taken effect")
	// ErrFenced reports that the platform refused a call because its fencing token is stale.
	ErrFenced = errors.New("fencing token is stale")
	// ErrHistoryLost reports that a feed cannot continue from the given revision. The caller must read all rows again.
	ErrHistoryLost = errors.New("history of changes is no longer available")
	// ErrStoreFull reports that the object store has no free space.
	ErrStoreFull = errors.New("object store is full")
)

// NoRevision is the revision of a row that does not exist.
const NoRevision = 0

// AnyRevision as the expected revision makes a write unconditional. Only the tables of the users' platform support
// it.
const AnyRevision = -1

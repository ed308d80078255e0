package forward

import (
	"context"
	"errors"
	"sync"
	"time"
)

var errTransmissionEnded = errors.New("the body is sent to another target or not at all")

// transmission is the sending of an upload over one connection. It may outlast the response: a target may respond before it has read
// the whole body, and read on.
type transmission struct {
	*upload
	// ctx is that of the request.
	ctx context.Context
	// ended is closed when the transport has sent the body but for the bytes in its buffer, or sends no more of it.
	ended   chan struct{}
	endOnce sync.Once
}

// Read reads the body while the transmission is the current one.
func (t *transmission) Read(p []byte) (int, error) {
	if !t.startRead(t) {
		return 0, errTransmissionEnded
	}
	return t.upload.Read(p)
}

func (t *transmission) abortRead() { t.upload.abortRead(t) }

func (t *transmission) end() { t.endOnce.Do(func() { close(t.ended) }) }

// Close ends the transmission. The transport calls it after the body, or when sending has failed.
func (t *transmission) Close() error {
	t.end()
	return nil
}

func (t *transmission) hasEnded() bool {
	select {
	case <-t.ended:
		return true
	default:
		return false
	}
}

// awaitEnd waits for the end and reports whether the whole body was read.
func (t *transmission) awaitEnd() bool {
	<-t.ended
	return t.reachedEOF.Load()
}

// isSending reports whether a part of the body may still have to be written to the connection.
func (t *transmission) isSending() bool { return t.reachedEOF.Load() || !t.hasEnded() }

// abort ends the transmission before the end of the body.
func (t *transmission) abort() {
	if !t.hasEnded() {
		t.abortRead()
		t.end()
	}
}

// UploadEnd says how an upload ended that went on after its response.
type UploadEnd string

const (
	// UploadWhole means that the whole body was sent.
	UploadWhole UploadEnd = "whole"
	// UploadBroken means that the target did not get the whole body, although the caller has a whole response.
	UploadBroken UploadEnd = "broken_off"
)

// uploadStallTimeout is how long an upload may go on after the response without progress.
const uploadStallTimeout = 10 * time.Second

// await waits for the end of a transmission that outlasts its response. It aborts a transmission without progress. If the caller may wait
// for something before it sends more, that is one for which it sends nothing within abortReadGrace.
func (t *transmission) await(ctx context.Context, callerMayWait bool) {
	ticker := time.NewTicker(abortReadGrace)
	defer ticker.Stop()
	received, stalledFor := t.received.Load(), time.Duration(0)
	for {
		select {
		case <-t.ended:
			return
		case <-ctx.Done():
			t.abort()
			return
		case <-ticker.C:
		}
		if now := t.received.Load(); now != received {
			received, stalledFor = now, 0
			continue
		}
		stalledFor += abortReadGrace
		if stalledFor >= uploadStallTimeout || callerMayWait && t.isReading.Load() {
			t.abort()
			return
		}
	}
}

package forward

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/egretspar/egretspar/internal/outcome"
)

// prefetchWait is how long a request whose body has no stated length waits for the end of a small body. A body that takes
// longer is streamed, because its caller may wait for the response before it sends the rest.
const prefetchWait = 100 * time.Millisecond

// prefetch reads the start of a body ahead. As a reader it returns the whole body.
type prefetch struct {
	body io.Reader
	stop atomic.Bool
	// arrived has a token when data or err changed; done is closed when nothing more is read ahead.
	arrived, done chan struct{}

	mu sync.Mutex
	// data was read and not returned by Read yet; err ended the body.
	data []byte
	err  error
}

func startPrefetch(body io.Reader) *prefetch {
	p := &prefetch{body: body, arrived: make(chan struct{}, 1), done: make(chan struct{})}
	go p.run()
	return p
}

// run reads until the body ends, is too large to be buffered, or stop is set.
func (p *prefetch) run() {
	defer close(p.done)
	part := make([]byte, maxBufferedRequest+1)
	for size := 0; size <= maxBufferedRequest && !p.stop.Load(); {
		n, err := p.body.Read(part)
		size += n
		p.mu.Lock()
		p.data, p.err = append(p.data, part[:n]...), err
		p.mu.Unlock()
		select {
		case p.arrived <- struct{}{}:
		default:
		}
		if err != nil {
			return
		}
	}
}

// wait returns the whole body if it is small and ends within prefetchWait, and the error that broke it off. If whole is
// false without an error, the body has to be streamed.
func (p *prefetch) wait() (body []byte, whole bool, err error) {
	timer := time.NewTimer(prefetchWait)
	defer timer.Stop()
	select {
	case <-p.done:
	case <-timer.C:
		p.stop.Store(true)
		return nil, false, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case len(p.data) > maxBufferedRequest:
		return nil, false, nil
	case errors.Is(p.err, io.EOF):
		return p.data, true, nil
	}
	return nil, false, p.err
}

// Read implements io.Reader.
func (p *prefetch) Read(part []byte) (int, error) {
	for {
		p.mu.Lock()
		n := copy(part, p.data)
		p.data = p.data[n:]
		err := p.err
		p.mu.Unlock()
		if n > 0 {
			return n, nil
		}
		if err != nil {
			return 0, err
		}
		select {
		case <-p.arrived:
		case <-p.done:
			if p.isDrained() {
				return p.body.Read(part)
			}
		}
	}
}

// isDrained reports whether all that was read ahead has been returned and the body goes on.
func (p *prefetch) isDrained() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.data) == 0 && p.err == nil
}

// end ends a read that is under way and waits for it. The HTTP server cannot close the body before.
func (p *prefetch) end(setReadDeadline func(time.Time) error) {
	p.stop.Store(true)
	select {
	case <-p.done:
		return
	default:
	}
	if setReadDeadline(time.Now()) == nil {
		<-p.done
	}
}

// bufferChunks reads the start of a body without a stated length. A small body is known before it is sent, so
// that a request that crashes targets is recognised like one with a length. All are sent as uploads.
func (x *exchange) bufferChunks() *outcome.Refusal {
	x.prefetch = startPrefetch(x.caller.Body)
	body, whole, err := x.prefetch.wait()
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return outcome.Refuse(outcome.RequestTooLarge)
	case err != nil:
		return outcome.Refuse(outcome.CallerDisconnected)
	case !whole:
		x.startUpload(newUploadWithoutTrailers(x.prefetch, x.writer.controller.SetReadDeadline))
		return nil
	}
	x.uploadedWhole = true
	x.uploaded = body
	// Its reads do not wait for the caller, whose connection is watched by a read of the HTTP server now.
	x.upload = newUploadWithoutTrailers(bytes.NewReader(body), func(time.Time) error { return nil })
	return nil
}

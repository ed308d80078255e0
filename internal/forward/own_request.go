package forward

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/outcome"
)

// maxOwnResponseBytes is the largest body of a response to a request that this instance makes itself, in bytes.
const maxOwnResponseBytes = 64 << 10

var errResponseTooLarge = errors.New("response exceeds the size limit")

// Response is a target's response that was read to its end.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// DoPlain sends a request of this instance to a plain service, as ServePlain does for a caller's request, and returns
// the response. After a refusal, the outcome of the report says whether a target may have run the request.
func (p *Plain) DoPlain(r *http.Request, call Call) (Response, Report, *outcome.Refusal) {
	buffer := &responseBuffer{header: http.Header{}}
	x := p.newExchange(buffer, r, call)
	x.isOwn = true
	defer x.abortUpload()
	refusal := x.serve()
	if refusal == nil {
		x.finishUpload()
		return Response{Status: buffer.status, Header: buffer.header, Body: buffer.body}, x.report, nil
	}
	refusal = refusal.WithOutcome(x.refusalOutcome())
	return Response{}, withRefusal(x.report, refusal), refusal
}

// responseBuffer is a response writer that collects one response.
type responseBuffer struct {
	header http.Header
	status int
	body   []byte
}

func (b *responseBuffer) Header() http.Header { return b.header }

// WriteHeader ignores interim responses.
func (b *responseBuffer) WriteHeader(status int) {
	if status >= http.StatusOK {
		b.status = status
	}
}

func (b *responseBuffer) Write(p []byte) (int, error) {
	if len(b.body)+len(p) > maxOwnResponseBytes {
		return 0, errResponseTooLarge
	}
	b.body = append(b.body, p...)
	return len(p), nil
}

// Flush implements http.Flusher.
func (b *responseBuffer) Flush() {}

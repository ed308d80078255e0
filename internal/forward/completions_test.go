package forward

import (
	"context"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"github.com/egretspar/egretspar/internal/claim"
	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/respond"
)

// Guards against responses that OpenAI clients cannot parse, and against truncated responses that look complete.
func TestCompletionResponses(t *testing.T) {
	first := `{"id":"request-1","object":"text_completion","created":0,"model":"model","choices":[{"index":0,"text":"t0 ","finish_reason":null}],"tokens":1,"weight_version":5}`
	end := `{"id":"request-1","object":"text_completion","created":0,"model":"model","choices":[{"index":0,"text":"","finish_reason":"length"}],"tokens":0,"weight_version":0}`
	failure := func(reason outcome.Reason, result outcome.Outcome) string {
		refusal := outcome.Refuse(reason).WithOutcome(result)
		return string(respond.Encode("request-1", refusal))
	}
	for _, c := range []struct {
		name, request string
		engine        http.HandlerFunc
		status        int
		body, trailer string
	}{
		{"stream", `{"model":"model","prompt":"p","max_tokens":1,"stream":true}`, respondWith(chunkEvent("e", 0, 5) + "data: [DONE]\n\n"), 200, "data: " + first + "\n\ndata: " + end + "\n\ndata: [DONE]\n\n", "ran "},
		{"broken stream", `{"model":"model","prompt":"p","max_tokens":3,"stream":true}`, respondWith(chunkEvent("e", 0, 5)), 200, "data: " + first + "\n\ndata: " + failure(outcome.ResponseTruncated, outcome.Unknown) + "\n\n", "unknown answer_truncated"},
		{"broken whole", `{"model":"model","prompt":"p"}`, respondWith(chunkEvent("e", 0, 5)), 502, failure(outcome.ResponseTruncated, outcome.Unknown), ""},
		{"whole", `{"model":"model","prompt":"p","max_tokens":1}`, respondWith(chunkEvent("e", 0, 5) + "data: [DONE]\n\n"), 200, strings.NewReplacer("null", `"length"`, `"tokens"`, `"usage":{"completion_tokens":1},"tokens"`).Replace(first), ""},
		{"engine refuses", `{"model":"model","prompt":"p"}`, respondRaw("HTTP/1.1 503 No\r\nContent-Length: 6\r\n\r\nsecret"), 503, failure(outcome.TargetRefused, outcome.NotRun), ""},
		{"not json", `{"model":"model", secret`, nil, 400, "body is not a completion request", ""},
		{"other model", `{"model":"secret"}`, nil, 400, "model does not name", ""},
		{"several", `{"model":"model","n":2}`, nil, 400, "not supported", ""},
		{"negative", `{"model":"model","max_tokens":-1}`, nil, 400, "out of range", ""},
		{"too large", strings.Repeat(" ", 9<<20), nil, 413, "request_too_large", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			entry := newFakeDeps(serve(t, c.engine)).serveEntry(t, Call{})
			response, err := http.Post(entry+"/v1/completions", "application/json", strings.NewReader(c.request))
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			got := regexp.MustCompile(`"created":\d+`).ReplaceAllString(string(body), `"created":0`)
			if err != nil || response.StatusCode != c.status || !strings.Contains(got, c.body) || c.status == 200 && got != c.body || strings.Contains(got, "secret") {
				t.Errorf("%d %v\n got %q\nwant %q", response.StatusCode, err, got, c.body)
			}
			if trailer := response.Trailer; trailer != nil && trailer.Get(OutcomeHeader)+" "+trailer.Get(ReasonHeader) != c.trailer {
				t.Errorf("trailers %v, want %q", trailer, c.trailer)
			}
		})
	}
}

// fakeClaim records how a claim ended.
type fakeClaim struct{ recorded string }

func (f *fakeClaim) Finish(_ context.Context, a claim.Response) *outcome.Refusal {
	f.recorded = string(a.Body)
	if a.Omitted {
		f.recorded = "omitted"
	}
	return nil
}

func (f *fakeClaim) Release(context.Context) *outcome.Refusal {
	f.recorded = "released"
	return nil
}

// Guards against a claim that is released although the request may have run, or that is not released although it
// did not run.
func TestClaimFinishedOrReleased(t *testing.T) {
	flushed := func(text string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			_ = http.NewResponseController(w).Flush()
			_, _ = io.WriteString(w, text)
		}
	}
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		end     string
	}{
		"small":       {respondWith("small"), "small"},
		"streamed":    {flushed("streamed"), "streamed"},
		"large":       {flushed(strings.Repeat("x", claim.MaxBody+1)), "omitted"},
		"lost":        {respondRaw(""), ""},
		"broken":      {respondRaw("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx"), ""},
		"unreachable": {nil, "released"},
	} {
		t.Run(name, func(t *testing.T) {
			url := closedPortURL()
			if c.handler != nil {
				url = serve(t, c.handler)
			}
			fake := new(fakeClaim)
			reports := make(chan Report, 1)
			entry := newFakeDeps(url).serveEntry(t, Call{Claim: fake, Report: func(r Report) { reports <- r }})
			response, err := http.Post(entry+"/x", "text/plain", strings.NewReader("x"))
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				response.Body.Close()
			}
			if <-reports; fake.recorded != c.end {
				t.Errorf("claim recorded %q, want %q", fake.recorded, c.end)
			}
		})
	}
}

package client

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/egretspar/egretspar/api"
	"github.com/egretspar/egretspar/internal/outcome"
)

// scriptedTransport responds to polls with the functions of polls, in order. Calls that open or delete a step succeed.
// All calls are recorded. A status of 0 simulates a failed connection, a negative status a truncated body.
type scriptedTransport struct {
	polls []func(req api.PollRequest) (int, any)
	calls []string
}

func (s *scriptedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	s.calls = append(s.calls, r.Method+" "+r.URL.Host)
	status, body := http.StatusOK, any(struct{}{})
	if strings.HasSuffix(r.URL.Path, "/poll") {
		var req api.PollRequest
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
			return nil, err
		}
		next := s.polls[0]
		s.polls = s.polls[1:]
		status, body = next(req)
	}
	if status == 0 {
		return nil, errors.New("connection reset")
	}
	data, _ := json.Marshal(body)
	if status < 0 {
		status, data = http.StatusOK, data[:len(data)/2]
	}
	return &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(string(data))), Header: http.Header{}}, nil
}

func pollAnswer(req api.PollRequest, done bool, versions ...int) api.PollAnswer {
	a := api.PollAnswer{Step: "s", Poll: req.Poll, Done: done}
	for i, v := range versions {
		a.Samples = append(a.Samples, api.Sample{Index: i, Spans: []api.Span{{Version: v, Tokens: 1}}})
	}
	return a
}

func refusal(reason outcome.Reason) func(api.PollRequest) (int, any) {
	return func(api.PollRequest) (int, any) {
		r := outcome.Refuse(reason)
		return r.Status(), api.Refusal{Reason: string(reason), Outcome: api.Outcome(r.Outcome)}
	}
}

// Guards against a client that accepts samples from a truncated response or a response to another poll, accepts a
// sample twice or although it is stale, gives up on a failure that a retry would overcome, or retries a final refusal.
func TestRunStep(t *testing.T) {
	allSamples := func(req api.PollRequest) (int, any) { return 200, pollAnswer(req, false, 5, 5) }
	done := func(req api.PollRequest) (int, any) {
		if req.Have != "Aw==" {
			t.Errorf("last poll has %q", req.Have)
		}
		return 200, pollAnswer(req, true)
	}
	for name, c := range map[string]struct {
		polls []func(api.PollRequest) (int, any)
		calls string
		want  outcome.Reason
	}{
		"plain": {polls: []func(api.PollRequest) (int, any){allSamples, done}, calls: "POST a,POST a,POST a,DELETE a"},
		"wrong poll number": {polls: []func(api.PollRequest) (int, any){
			func(req api.PollRequest) (int, any) { req.Poll--; return 200, pollAnswer(req, true, 5, 5) }, allSamples, done,
		}, calls: "POST a,POST a,POST b,POST b,DELETE b"},
		"wrong step": {polls: []func(api.PollRequest) (int, any){
			func(req api.PollRequest) (int, any) { a := pollAnswer(req, true, 5, 5); a.Step = "x"; return 200, a }, allSamples, done,
		}, calls: "POST a,POST a,POST b,POST b,DELETE b"},
		"truncated": {polls: []func(api.PollRequest) (int, any){
			func(req api.PollRequest) (int, any) { return -1, pollAnswer(req, false, 5, 5) }, allSamples, done,
		}, calls: "POST a,POST a,POST b,POST b,DELETE b"},
		"sent twice": {polls: []func(api.PollRequest) (int, any){allSamples, allSamples, done}, calls: "POST a,POST a,POST a,POST a,DELETE a"},
		"stale on receipt": {polls: []func(api.PollRequest) (int, any){
			func(req api.PollRequest) (int, any) { return 200, pollAnswer(req, false, 3, 5) }, allSamples, done,
		}, calls: "POST a,POST a,POST a,POST a,DELETE a"},
		"disconnected": {polls: []func(api.PollRequest) (int, any){
			func(api.PollRequest) (int, any) { return 0, nil }, allSamples, done,
		}, calls: "POST a,POST a,POST b,POST b,DELETE b"},
		"unknown step": {polls: []func(api.PollRequest) (int, any){refusal(outcome.StepUnknown), allSamples, done}, calls: "POST a,POST a,POST a,POST a,POST a,DELETE a"},
		"draining":     {polls: []func(api.PollRequest) (int, any){refusal(outcome.Draining), allSamples, done}, calls: "POST a,POST a,POST b,POST b,DELETE b"},
		"final":        {polls: []func(api.PollRequest) (int, any){refusal(outcome.StepMismatch)}, calls: "POST a,POST a", want: outcome.StepMismatch},
		"withdrawn":    {polls: []func(api.PollRequest) (int, any){refusal(outcome.KeyWithdrawn)}, calls: "POST a,POST a", want: outcome.KeyWithdrawn},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := &scriptedTransport{polls: c.polls}
			cl := &Client{BaseURLs: []string{"http://a", "http://b"}, HTTP: &http.Client{Transport: s}}
			spec := api.StepSpec{ID: "s", Service: "m", Groups: []string{"p"}, SamplesPerGroup: 2, StalenessVersions: 1}
			accepted := map[int]int{}
			err := cl.RunStep(context.Background(), spec, func() int { return 5 }, func(s api.Sample) error {
				accepted[s.Index]++
				return nil
			})
			var refused *RefusedError
			if errors.As(err, &refused) != (c.want != "") || refused != nil && refused.Reason != c.want {
				t.Errorf("%s: got error %v", name, err)
			}
			if c.want == "" && (accepted[0] != 1 || accepted[1] != 1) {
				t.Errorf("%s: samples accepted %v", name, accepted)
			}
			if calls := strings.Join(s.calls, ","); calls != c.calls {
				t.Errorf("%s: calls %s, want %s", name, calls, c.calls)
			}
		})
	}
}

package plain

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretspar/egretspar/internal/standin"
)

func post(client *http.Client, id string) (Response, error) {
	req, _ := http.NewRequest(http.MethodPost, "http://plain/book", strings.NewReader("body "+id))
	req.Header.Set("Idempotency-Key", id)
	// With this header net/http retries a request itself when a reused connection breaks, unless it
	// cannot read the body a second time.
	req.GetBody = nil
	resp, err := client.Do(req)
	if err != nil {
		return Response{}, err
	}
	defer resp.Body.Close()
	var response Response
	return response, json.NewDecoder(resp.Body).Decode(&response)
}

// Guards against a run that is not counted because its response was lost, and against a refused request
// that counts as a run.
func TestRunsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{ID: "p", Behavior: Behavior{Latency: time.Second}})
		client, stop := standin.ServePipe(s)
		defer stop()
		if response, err := post(client, "a"); err != nil || response.Run != 1 || response.Echo != "body a" {
			t.Errorf("response: %+v, error: %v", response, err)
		}
		s.Set(Behavior{ResponseLossRate: 1})
		if _, err := post(client, "a"); err == nil {
			t.Error("the client received a response that should be lost")
		}
		s.Set(Behavior{TruncateRate: 1})
		if _, err := post(client, "b"); err == nil {
			t.Error("the client received a complete response that should be truncated")
		}
		s.Set(Behavior{RefuseRate: 1})
		_, _ = post(client, "c")
		observed := s.Observed()
		if observed.Runs["a"] != 2 || observed.Runs["b"] != 1 || observed.Runs["c"] != 0 || observed.Total != 4 || len(observed.RepeatedIDs()) != 1 {
			t.Errorf("observed: %+v", observed)
		}
	})
}

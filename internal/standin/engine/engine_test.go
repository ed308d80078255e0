package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	messages "github.com/egretspar/egretspar/internal/engine"
	"github.com/egretspar/egretspar/internal/standin"
)

func pointer[T any](v T) *T { return &v }

// streamResult holds what a client read from one stream. A status of 0 means that no response arrived.
type streamResult struct {
	status   int
	text     string
	tokens   int
	versions []int
	done     bool
}

func streamCompletion(ctx context.Context, t *testing.T, client *http.Client, request messages.CompletionRequest) streamResult {
	t.Helper()
	request.Stream = pointer(true)
	body, err := json.Marshal(request)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://engine/v1/completions", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Egretspar-Request", request.Prompt)
	resp, err := client.Do(req)
	if err != nil {
		return streamResult{}
	}
	defer resp.Body.Close()
	result := streamResult{status: resp.StatusCode}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == messages.DoneMarker {
			result.done = true
			break
		}
		var chunk messages.CompletionChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			t.Error(err)
		}
		result.text += chunk.Choices[0].Text
		result.tokens += *chunk.Tokens
		result.versions = append(result.versions, valueOr(chunk.WeightVersion, 0))
	}
	return result
}

func postWeightOrder(t *testing.T, client *http.Client, order messages.WeightOrder) int {
	t.Helper()
	body, _ := json.Marshal(order)
	resp, err := client.Post("http://engine/weights", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

func runWithEngine(t *testing.T, o Options, check func(t *testing.T, e *Engine, client *http.Client)) {
	synctest.Test(t, func(t *testing.T) {
		e := New(o)
		client, stop := standin.ServePipe(e)
		check(t, e, client)
		stop()
		e.Close()
	})
}

// Guards against a resumed stream whose text differs from the uninterrupted one, which would hide lost or
// duplicated tokens, and against a resume mismatch that is not counted.
func TestResume(t *testing.T) {
	runWithEngine(t, Options{TokenTime: time.Millisecond, LengthMedian: 40}, func(t *testing.T, e *Engine, client *http.Client) {
		request := messages.CompletionRequest{Model: "m", Prompt: "a prompt", Seed: pointer(7)}
		uninterrupted := streamCompletion(t.Context(), t, client, request)
		stream := NewStream(7, "a prompt")
		if !uninterrupted.done || uninterrupted.text != stream.Text(0, 40) || uninterrupted.tokens != 40 {
			t.Errorf("uninterrupted: %+v", uninterrupted)
		}
		request.ResumeText, request.ResumeTokens = pointer(stream.Text(0, 13)), pointer(13)
		if rest := streamCompletion(t.Context(), t, client, request); rest.text != stream.Text(13, 40) {
			t.Errorf("resumed: %+v", rest)
		}
		request.ResumeTokens = pointer(12)
		streamCompletion(t.Context(), t, client, request)
		if observed := e.Observed(); observed.Resumed != 2 || observed.ResumeMismatches != 1 || observed.Runs["a prompt"] != 3 {
			t.Errorf("observed: %+v", observed.Stats)
		}
	})
}

// Guards against generation that continues after the client has disconnected.
func TestDisconnectCancels(t *testing.T) {
	o := Options{TokenTime: 10 * time.Millisecond, LengthMedian: 4000}
	runWithEngine(t, o, func(t *testing.T, e *Engine, client *http.Client) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if result := streamCompletion(ctx, t, client, messages.CompletionRequest{Prompt: "p"}); result.done {
			t.Error("stream ended before the disconnect")
		}
		time.Sleep(10 * time.Second)
		observed := e.Observed()
		if observed.Cancelled != 1 || observed.Tokens > 110 || observed.LongestCancel > time.Second {
			t.Errorf("observed: %+v", observed.Stats)
		}
	})
}

// Guards against a crashed engine that still responds, and against a poison request that does not crash the
// engine.
func TestPoisonCrashesAndRestarts(t *testing.T) {
	o := Options{TokenTime: time.Millisecond, PoisonMarker: "POISON", Version: 5, RestartAfter: time.Second, RestartVersion: 3}
	runWithEngine(t, o, func(t *testing.T, e *Engine, client *http.Client) {
		if result := streamCompletion(t.Context(), t, client, messages.CompletionRequest{Prompt: "POISON"}); result.done {
			t.Errorf("poison request completed: %+v", result)
		}
		if result := streamCompletion(t.Context(), t, client, messages.CompletionRequest{Prompt: "p"}); result.status != 0 {
			t.Errorf("crashed engine responded: %+v", result)
		}
		time.Sleep(2 * time.Second)
		result := streamCompletion(t.Context(), t, client, messages.CompletionRequest{Prompt: "p"})
		if observed := e.Observed(); !result.done || result.versions[0] != 3 || observed.StartNumber != 2 || observed.Crashes != 1 {
			t.Errorf("after restart: %+v, %+v", result, observed.Stats)
		}
	})
}

// Guards against chunks with the label of a version that did not generate them, and against a swap to a version
// that is not loaded.
func TestSwapLabelsChunks(t *testing.T) {
	o := Options{TokenTime: time.Millisecond, LengthMedian: 1000, Version: 1, LoadTime: 100 * time.Millisecond, SwapTime: 50 * time.Millisecond, Fencing: true}
	runWithEngine(t, o, func(t *testing.T, e *Engine, client *http.Client) {
		results := make(chan streamResult, 1)
		go func() { results <- streamCompletion(t.Context(), t, client, messages.CompletionRequest{Prompt: "p"}) }()
		e.FailWeights(0, 1)
		for _, c := range []struct {
			order messages.WeightOrder
			want  int
		}{
			{messages.WeightOrder{Version: 2, Phase: messages.PhaseSwap, Term: 4}, http.StatusConflict},
			{messages.WeightOrder{Version: 2, Phase: messages.PhaseLoad, Term: 3}, http.StatusPreconditionFailed},
			{messages.WeightOrder{Version: 2, Phase: messages.PhaseLoad, Term: 4}, http.StatusOK},
			{messages.WeightOrder{Version: 2, Phase: messages.PhaseSwap, Term: 4}, http.StatusInternalServerError},
			{messages.WeightOrder{Version: 2, Phase: messages.PhaseSwap, Term: 4}, http.StatusOK},
		} {
			if got := postWeightOrder(t, client, c.order); got != c.want {
				t.Errorf("%+v: got %d, want %d", c.order, got, c.want)
			}
		}
		result := <-results
		first, last := result.versions[0], result.versions[len(result.versions)-1]
		if !result.done || result.tokens != 1000 || first != 1 || last != 2 {
			t.Errorf("versions from %d to %d, %d tokens; want a complete stream from 1 to 2 with 1000 tokens", first, last, result.tokens)
		}
	})
}

// Guards against an engine that ignores priorities and serves training before bookings, that reports cache events
// too early or without gaps, or that never uses its prefix cache.
func TestPriorityAndCache(t *testing.T) {
	o := Options{Slots: 1, TokenTime: time.Millisecond, CacheEventDelay: time.Second, CacheEventLoss: 0.3, CacheBlocks: 8}
	runWithEngine(t, o, func(t *testing.T, e *Engine, client *http.Client) {
		order := make(chan int, 3)
		for _, priority := range []int{5, 9, 1} {
			go func() {
				streamCompletion(t.Context(), t, client, messages.CompletionRequest{Prompt: "p", Priority: pointer(priority)})
				order <- priority
			}()
			synctest.Wait()
		}
		if a, b, c := <-order, <-order, <-order; a != 5 || b != 1 || c != 9 {
			t.Errorf("priorities finished in the order %d, %d, %d; want 5, 1, 9", a, b, c)
		}
		long := strings.Repeat("x", 6*BlockBytes)
		streamCompletion(t.Context(), t, client, messages.CompletionRequest{Prompt: long, MaxTokens: pointer(1)})
		if early := e.cache.eventsAfter(0, time.Now().Add(-o.CacheEventDelay)); len(early) != 0 {
			t.Errorf("events reported before CacheEventDelay: %v", early)
		}
		streamCompletion(t.Context(), t, client, messages.CompletionRequest{Prompt: long + "tail", MaxTokens: pointer(1)})
		time.Sleep(2 * time.Second)
		late := e.cache.eventsAfter(0, time.Now().Add(-o.CacheEventDelay))
		if len(late) == 0 || len(late) >= 6 || e.Observed().CachedTokens != 6*BlockBytes/tokenBytes {
			t.Errorf("events %v, observed %+v", late, e.Observed().Stats)
		}
	})
}

// Guards against a crash that leaves the listener or a connection open. It uses real sockets.
func TestCrashOverSockets(t *testing.T) {
	e := New(Options{Version: 2, Secrets: []string{"caller-key"}})
	defer e.Close()
	url, err := e.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	postCompletion := func() error {
		req, _ := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader("{}"))
		req.Header.Set("Authorization", "Bearer caller-key")
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		return resp.Body.Close()
	}
	if err := postCompletion(); err != nil {
		t.Fatal(err)
	}
	e.Crash()
	if err := postCompletion(); err == nil {
		t.Error("crashed engine responded")
	}
	if err := e.Restart(1); err != nil {
		t.Fatal(err)
	}
	if err := postCompletion(); err != nil {
		t.Error(err)
	}
	if observed := e.Observed(); observed.Leaked != 2 || observed.Version != 1 {
		t.Errorf("observed: %d leaked, version %d", observed.Leaked, observed.Version)
	}
}

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["openjob"] = playOpenJob }

// playOpenJob submits a batch job, reads its results, and reads them again after a time in which the trainer was away. With the
// disruption the trainer has not ended the job.
func playOpenJob(b *bench) (bool, error) {
	const (
		statusTTL = 45
		items     = 8
		events    = 10
	)
	handle := func(s *server, w http.ResponseWriter, r *http.Request, _ []byte) {
		s.stream(w, r, events, 20*time.Millisecond)
	}
	b.writeConfig([]route{rolloutRoute("r-roll", "/roll/", "lm")}, []map[string]any{modelService("lm")})
	for n := range 3 {
		s := &server{id: fmt.Sprintf("i-lm-%d", n+1), service: "lm", isModel: true, slots: 12, store: b.store, record: b.record, handle: handle}
		s.start()
	}
	if err := b.startInstances(3, statusTTL); err != nil {
		return false, err
	}
	time.Sleep(stableTime)
	var list []jobItem
	for n := range items {
		list = append(list, newItem("/roll/", fmt.Sprintf("g%d", n/4)))
	}
	job := newID()
	r := b.call(b.instances[0], http.MethodPost, "/roll/"+job, job, jobBody(0, items/4, list), map[string]string{"Content-Type": "application/json"}, 3*time.Second)
	b.add("the job %s of %d items is submitted: %s", job, items, r)
	if r.status != http.StatusAccepted {
		return false, fmt.Errorf("%w: the job was not accepted", errUnable)
	}
	submitted := time.Now()
	read := 0
	for read < items && time.Since(submitted) < 15*time.Second {
		p, r := b.readResults(b.instances[1], job, read)
		read += len(p.Results)
		b.add("results read: %s, %d of %d", r, read, p.Total)
		time.Sleep(300 * time.Millisecond)
	}
	if read < items {
		return false, fmt.Errorf("%w: the job did not complete", errUnable)
	}
	if !b.trouble {
		b.endJob(b.instances[2], job)
	}
	lost := false
	for time.Since(submitted) < 100*time.Second {
		age := time.Since(submitted).Seconds()
		for _, i := range b.instances {
			p, r := b.readResults(i, job, 0)
			b.add("age %.1f s: a client reads the job at %s: %s, %d results", age, i.name, r, len(p.Results))
			if r.err == nil && (r.status == http.StatusNotFound || r.status == http.StatusGone || r.status == http.StatusOK && len(p.Results) == 0) {
				b.add("BROKEN: the job is gone, its results had been read")
				lost = true
			}
		}
		if lost || !b.trouble && age > statusTTL-5 {
			break
		}
		time.Sleep(3 * time.Second)
	}
	if b.trouble {
		b.endJob(b.instances[2], job)
	}
	return lost, nil
}

func (b *bench) endJob(i *instance, job string) {
	r := b.call(i, http.MethodDelete, "/v1/lots/"+job, "", nil, nil, 3*time.Second)
	b.add("the trainer ends the job: %s %s", r, strings.TrimSpace(string(r.body)))
}
